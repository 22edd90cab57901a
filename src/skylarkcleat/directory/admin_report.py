"""Converts the directory's state into the admin API's JSON objects."""

from __future__ import annotations

import typing as t

import msgspec
from aiohttp import web

from skylarkcleat.directory import history as history_lib
from skylarkcleat.directory import result as result_lib
from skylarkcleat.directory import server as server_lib
from skylarkcleat.directory import shard_assignment
from skylarkcleat.directory import view as view_lib
from skylarkcleat.model import member as member_lib
from skylarkcleat.model import profile as profile_lib


class StatusObject(t.TypedDict):
    """One replica's state."""

    name: str
    leader: str
    is_repaired: bool
    revision: int
    age_s: float | None
    subscribers: int
    members: int
    profiles: int
    shards_copying: int
    shards_at_risk: int


class ConflictObject(t.TypedDict):
    """The earlier change that an operator's change conflicts with."""

    version: int
    profile: dict[str, t.Any] | None
    operator: str
    at_ms: int
    reason: str


def describe_profile(profile: profile_lib.Profile) -> dict[str, t.Any]:
    """Returns a profile as an object."""
    return profile._asdict()


def describe_member(member: member_lib.Member) -> dict[str, t.Any]:
    """Returns a member as an object."""
    return member._asdict()


def describe_entry(entry: history_lib.HistoryEntry) -> dict[str, t.Any]:
    """Returns an entry of the history as an object."""
    return entry._asdict()


def describe_conflict(conflict: result_lib.Conflict) -> ConflictObject:
    """Returns the change that won a conflict as an object."""
    current = conflict.current
    return ConflictObject(
        version=conflict.version,
        profile=None if current is None else describe_profile(current),
        operator=conflict.operator,
        at_ms=conflict.at_ms,
        reason=conflict.reason,
    )


def describe_status(
    name: str,
    leader: str,
    is_repaired: bool,
    server: server_lib.ControlServer,
    view: view_lib.View,
) -> StatusObject:
    """Returns a replica's state as an object."""
    return StatusObject(
        name=name,
        leader=leader,
        is_repaired=is_repaired,
        revision=view.revision,
        age_s=server.measure_age(),
        subscribers=server.subscriber_count,
        members=len(view.members),
        profiles=len(view.profiles),
        shards_copying=sum(
            bool(shard.previous) for shard in view.shards.values()
        ),
        shards_at_risk=shard_assignment.count_at_risk(
            view.members.values(), view.shards.values()
        ),
    )


def create_response(body: t.Mapping[str, t.Any]) -> web.Response:
    """Returns a response with an object as its body."""
    return web.Response(
        body=msgspec.json.encode(body), content_type="application/json"
    )
