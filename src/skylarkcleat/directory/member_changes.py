"""Applies changes of members to the directory's state."""

from __future__ import annotations

from skylarkcleat.directory import command as command_lib
from skylarkcleat.directory import history as history_lib
from skylarkcleat.directory import result as result_lib
from skylarkcleat.directory import state as state_lib
from skylarkcleat.model import member as member_lib
from skylarkcleat.protocol import subscribing

_Kind = subscribing.ChangeKind
_Verb = history_lib.Verb
_LEAVING = member_lib.MemberState.LEAVING


def update_members(
    state: state_lib.State, command: command_lib.UpdateMembers
) -> result_lib.Result:
    """Removes dead members, adds new ones and marks leaving ones."""
    for ref in command.dead:
        _remove(state, command.at_ms, ref)
    for member in command.announced:
        _add(state, command.at_ms, member)
    for ref in command.leaving:
        _mark_leaving(state, command.at_ms, ref)
    return result_lib.Accepted(state.view.revision)


def drain_member(
    state: state_lib.State, command: command_lib.DrainMember
) -> result_lib.Result:
    """Marks a member as leaving at an operator's request."""
    member = state.view.members.get(command.name)
    if member is None:
        return result_lib.Unknown(command.name)
    if member.state is not _LEAVING:
        _set(state, member._replace(state=_LEAVING))
        state.record(
            command.at_ms,
            _Verb.DRAINED,
            f"member {command.name}",
            command.author,
            f"incarnation {member.incarnation}",
        )
    return result_lib.Accepted(state.view.revision)


def _add(state: state_lib.State, at_ms: int, member: member_lib.Member) -> None:
    ref = subscribing.MemberRef(member.name, member.incarnation)
    current = state.view.members.get(member.name)
    if state.is_fenced(ref):
        return
    # Announcements may arrive out of order: ignores one that arrives after
    # that of a later incarnation.
    if current and current.incarnation >= member.incarnation:
        return
    if current:
        state.fence(subscribing.MemberRef(current.name, current.incarnation))
    _set(state, member)
    _record(state, at_ms, _Verb.JOINED, member)


def _mark_leaving(
    state: state_lib.State, at_ms: int, ref: subscribing.MemberRef
) -> None:
    member = _find(state, ref)
    if member is None or member.state is _LEAVING:
        return
    _set(state, member._replace(state=_LEAVING))
    _record(state, at_ms, _Verb.LEAVING, member)


def _remove(
    state: state_lib.State, at_ms: int, ref: subscribing.MemberRef
) -> None:
    member = _find(state, ref)
    if member is None:
        return
    state.fence(ref)
    state.change(_Kind.MEMBER_GONE, member.name)
    _record(state, at_ms, _Verb.DEAD, member)


def _find(
    state: state_lib.State, ref: subscribing.MemberRef
) -> member_lib.Member | None:
    member = state.view.members.get(ref.name)
    if member is None or member.incarnation != ref.incarnation:
        return None
    return member


def _set(state: state_lib.State, member: member_lib.Member) -> None:
    state.change(_Kind.MEMBER, member.name, member=member)


def _record(
    state: state_lib.State,
    at_ms: int,
    verb: history_lib.Verb,
    member: member_lib.Member,
) -> None:
    state.record(
        at_ms,
        verb,
        f"member {member.name}",
        state_lib.SYSTEM,
        f"incarnation {member.incarnation}, {member.role} in {member.zone} "
        f"at {member.address}",
    )
