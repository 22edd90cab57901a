"""Runs a front or a side process: `python -m skylarkcleat.platform ROLE`."""

from __future__ import annotations

import sys

from skylarkcleat import problem as problem_lib
from skylarkcleat.platform import daemons

USAGE_STATUS = 2
_ROLES = {"front": daemons.run_front, "side": daemons.run_side}


def main(arguments: list[str]) -> int:
    """Runs a role until it is stopped; returns the exit status."""
    if len(arguments) != 1 or arguments[0] not in _ROLES:
        sys.stderr.write("usage: python -m skylarkcleat.platform front|side\n")
        return USAGE_STATUS
    try:
        _ROLES[arguments[0]]()
    except problem_lib.SettingsError as error:
        sys.stderr.write(f"{error}\n")
        return USAGE_STATUS
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
