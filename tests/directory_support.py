"""Fakes and helpers that the directory's tests share."""

from __future__ import annotations

import time

from skylarkcleat.consensus import log as log_lib
from skylarkcleat.consensus import state_machine
from skylarkcleat.directory import command as command_lib
from skylarkcleat.directory import directory as directory_lib
from skylarkcleat.directory import result as result_lib
from skylarkcleat.model import member as member_lib
from skylarkcleat.model import profile as profile_lib

AT_MS = 1_764_800_000_000
ADA = command_lib.Author("ada", "flood of stock checks", "key-1")


class Cluster:
    """Replicas that share an in-memory log; the first one leads."""

    def __init__(self, *machines: state_machine.StateMachine):
        self.entries: list[bytes] = []
        self.leader = "control-1"
        self.replicas = [
            MemoryLog(self, f"control-{number}", machine)
            for number, machine in enumerate(machines, 1)
        ]

    def commit(self, entry: bytes) -> None:
        self.entries.append(entry)
        for replica in self.replicas:
            replica.catch_up()


class MemoryLog(log_lib.ReplicatedLog):
    """One replica; while `cut` is set, it gets no entries or confirmations."""

    def __init__(self, cluster, name, machine):
        self.name = name
        self.cut = False
        self._cluster = cluster
        self._machine = machine
        self._applied = 0
        self._result = b""

    def catch_up(self) -> None:
        if self.cut:
            return
        for entry in self._cluster.entries[self._applied :]:
            self._applied += 1
            self._result = self._machine.apply(self._applied, entry)

    async def propose(self, command):
        if self.cut or self.leader != self.name:
            return log_lib.NotLeader(self.leader, "this replica follows")
        self._cluster.commit(command)
        return log_lib.Applied(self._applied, self._result)

    async def confirm(self):
        if self.cut:
            return log_lib.NotLeader("", "no majority answered")
        now = time.monotonic()
        return log_lib.Freshness(now, self._applied)

    @property
    def is_repaired(self):
        return not self.cut

    @property
    def leader(self):
        return "" if self.cut else self._cluster.leader


def apply(directory: directory_lib.Directory, command) -> result_lib.Result:
    return result_lib.decode(directory.apply(0, command_lib.encode(command)))


def make_profile(name="orders", **fields) -> profile_lib.Profile:
    return profile_lib.Profile(name, 0, ("wicks",), **fields)


def apply_profile(
    directory, expected=0, *, author=ADA, at_ms=AT_MS, name="orders", **fields
) -> result_lib.Result:
    profile = make_profile(name, **fields)
    command = command_lib.ApplyProfile(author, at_ms, expected, profile)
    return apply(directory, command)


def make_agent(
    name, zone="waycross", incarnation=1, **fields
) -> member_lib.Member:
    return member_lib.Member(
        name,
        incarnation,
        member_lib.Role.AGENT,
        zone,
        "tcp://127.0.0.1:7000",
        "wicks",
        8,
        64,
        **fields,
    )


def announce(directory, *members, at_ms=AT_MS) -> result_lib.Result:
    return apply(directory, command_lib.UpdateMembers(at_ms, members))
