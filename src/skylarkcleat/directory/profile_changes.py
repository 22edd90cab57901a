"""Applies changes of profiles to the directory's state."""

from __future__ import annotations

import msgspec

from skylarkcleat.directory import command as command_lib
from skylarkcleat.directory import history as history_lib
from skylarkcleat.directory import result as result_lib
from skylarkcleat.directory import snapshot as snapshot_lib
from skylarkcleat.directory import state as state_lib
from skylarkcleat.protocol import subscribing

_Kind = subscribing.ChangeKind
_Verb = history_lib.Verb
_Change = command_lib.ApplyProfile | command_lib.RemoveProfile


def apply_profile(
    state: state_lib.State, command: command_lib.ApplyProfile
) -> result_lib.Result:
    """Creates or replaces a profile if it has the expected version.

    The versions of a name keep growing after a removal, so that a version of
    a removed profile never matches a later profile of the same name.
    """
    name = command.profile.name
    conflict = _find_conflict(state, name, command.expected_version)
    if conflict is not None:
        return _refuse(state, command, name, conflict)
    last_change = state.last_profile_changes.get(name)
    version = 1 if last_change is None else last_change.version + 1
    profile = command.profile._replace(version=version)
    state.change(_Kind.PROFILE, name, profile=profile)
    _record_last_change(state, command, name, version)
    detail = msgspec.json.encode(profile._asdict()).decode()
    _record(state, command, _Verb.APPLIED, name, detail)
    return result_lib.Accepted(state.view.revision, profile)


def remove_profile(
    state: state_lib.State, command: command_lib.RemoveProfile
) -> result_lib.Result:
    """Removes a profile if it has the expected version."""
    name = command.name
    if name not in state.view.profiles:
        return result_lib.Unknown(name)
    conflict = _find_conflict(state, name, command.expected_version)
    if conflict is not None:
        return _refuse(state, command, name, conflict)
    state.change(_Kind.PROFILE_REMOVED, name)
    _record_last_change(state, command, name, command.expected_version)
    detail = f"version {command.expected_version}"
    _record(state, command, _Verb.REMOVED, name, detail)
    return result_lib.Accepted(state.view.revision)


def _find_conflict(
    state: state_lib.State, name: str, expected_version: int
) -> result_lib.Conflict | None:
    current = state.view.profiles.get(name)
    version = 0 if current is None else current.version
    if version == expected_version:
        return None
    last_change = state.last_profile_changes.get(name)
    if last_change is None:
        return result_lib.Conflict(version, current, "", 0, "")
    return result_lib.Conflict(
        version,
        current,
        last_change.operator,
        last_change.at_ms,
        last_change.reason,
    )


def _refuse(
    state: state_lib.State,
    command: _Change,
    name: str,
    conflict: result_lib.Conflict,
) -> result_lib.Conflict:
    detail = (
        f"expected version {command.expected_version}, "
        f"found version {conflict.version}"
    )
    _record(state, command, _Verb.REFUSED, name, detail)
    return conflict


def _record_last_change(
    state: state_lib.State, command: _Change, name: str, version: int
) -> None:
    author = command.author
    state.last_profile_changes[name] = snapshot_lib.LastProfileChange(
        name, version, author.operator, command.at_ms, author.reason
    )


def _record(
    state: state_lib.State,
    command: _Change,
    verb: history_lib.Verb,
    name: str,
    detail: str,
) -> None:
    state.record(command.at_ms, verb, f"profile {name}", command.author, detail)
