"""Checks a settings file of any role."""

from __future__ import annotations

from skylarkcleat import problem as problem_lib
from skylarkcleat.model import member
from skylarkcleat.settings import _reading
from skylarkcleat.settings import agent
from skylarkcleat.settings import control
from skylarkcleat.settings import entry

_FINDERS = {
    member.Role.ENTRY: entry.find_entry_problems,
    member.Role.AGENT: agent.find_agent_problems,
    member.Role.CONTROL: control.find_control_problems,
}


def check_settings(path: str) -> list[problem_lib.Problem]:
    """Returns every fault of a settings file; none if it can be used.

    Args:
        path: A file of any role; its `role` key says which.
    """
    try:
        raw = _reading.read_table(path)
    except problem_lib.SettingsError as error:
        return error.problems
    finder = _FINDERS.get(str(raw.get("role")))
    if finder is None:
        detail = "must be 'entry', 'agent' or 'control'"
        if "role" in raw:
            detail += f", is {raw['role']!r}"
        return [problem_lib.Problem(path, "role", detail)]
    return finder(path, raw)
