"""Runs a front or a side process: `python -m skylarkcleat.platform ROLE`.

Each role imports only the modules that it runs: start-up time is downtime, and
memory has a price.
"""

from __future__ import annotations

import gc
import importlib
import os
import signal
import sys

from skylarkcleat import problem as problem_lib

USAGE_STATUS = 2
GC_ALLOCATIONS = 10_000
"""How many objects may come to be before the garbage collector looks at the
young ones. Messages and tasks leave hardly any cycles."""

_MODULES = {
    "front": "skylarkcleat.platform.front_daemon",
    "side": "skylarkcleat.platform.side_daemon",
}


def main(arguments: list[str]) -> int:
    """Runs a role until it is stopped; returns the exit status."""
    if len(arguments) != 1 or arguments[0] not in _MODULES:
        sys.stderr.write("usage: python -m skylarkcleat.platform front|side\n")
        return USAGE_STATUS
    # Until there is a handler: the settings are read after the imports anyway.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # Nothing of what is imported is garbage: a collection would be in vain.
    gc.disable()
    daemon = importlib.import_module("skylarkcleat.platform.daemon")
    role = importlib.import_module(_MODULES[arguments[0]])
    gc.freeze()
    gc.set_threshold(GC_ALLOCATIONS)
    gc.enable()
    try:
        daemon.run(role.serve)
    except problem_lib.SettingsError as error:
        sys.stderr.write(f"{error}\n")
        return USAGE_STATUS
    return 0


if __name__ == "__main__":
    # No TLS is used here, but aiohttp loads all CA certificates on import.
    os.environ["SSL_CERT_FILE"] = os.devnull
    sys.exit(main(sys.argv[1:]))
