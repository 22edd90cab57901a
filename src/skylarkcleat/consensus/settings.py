"""The settings of a replicated log."""

from __future__ import annotations

import pathlib
import typing as t

from skylarkcleat.consensus import limits as limits_lib


class Settings(t.NamedTuple):
    """The settings of one replica.

    Attributes:
        name: The replica's name.
        folder: Its data folder.
        bind: The `tcp://ip:port` on which it receives; unused without peers.
        peers: The other replicas' names and `tcp://ip:port` addresses.
        founding: Whether the replica may bootstrap a cluster when the data
            folder of each replica in the settings is empty.
        is_open: Whether peers are discovered while the replica runs. It then
            listens even without peers, and bootstraps a cluster only once
            `LogDriver.allow_bootstrap` names the initial replicas.
        propose_timeout_s: How long a proposal may wait for its commit.
        confirm_timeout_s: How long a read may wait for a majority.
        limits: Bounds that all replicas share.
    """

    name: str
    folder: pathlib.Path
    bind: str = ""
    peers: t.Mapping[str, str] = {}
    founding: bool = False
    is_open: bool = False
    propose_timeout_s: float = 3.0
    confirm_timeout_s: float = 1.0
    limits: limits_lib.Limits = limits_lib.Limits()
