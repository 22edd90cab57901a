"""Reads the settings file that the infrastructure writes for a process."""

from __future__ import annotations

import collections.abc
import os
import pathlib
import re
import typing as t

import eliot
import msgspec

from skylarkcleat import problem as problem_lib

MAX_PORT = 65_535
_HOST = re.compile(r"[\w.-]+", re.ASCII)
PATH_VARIABLE = "SKYLARKCLEAT_SETTINGS"

_PLACE = re.compile(r"(.*) - at `\$\.?(.*)`", re.DOTALL)
_Quantity = t.Annotated[float, msgspec.Meta(ge=0, le=2**53)]


class Listen(msgspec.Struct, rename="kebab"):
    """Addresses, as `ip:port`, that others call; empty if not served."""

    front: str = ""
    ready: str = ""
    control: str = ""


class MachineLimits(msgspec.Struct, rename="kebab"):
    """The resources of the VM.

    Attributes:
        cpu_share: The fraction of a core that the process gets.
        cores: The speed of the VM in units of one core.
        link_mbps: The bandwidth of its link.
        memory_mb: Its memory, in MB; 0 if unknown.
        max_fds: The descriptors that the process may open; 0 if unknown.
    """

    cpu_share: _Quantity = 1.0
    cores: _Quantity = 1.0
    link_mbps: _Quantity = 1000.0
    memory_mb: _Quantity = 0
    max_fds: int = 0


class Bounds(msgspec.Struct):
    """Limits that the infrastructure guarantees."""

    grace_s: _Quantity = msgspec.field(name="grace-s", default=6.0)
    max_hold_ms: _Quantity = msgspec.field(name="max-hold-ms", default=1000)
    evacuate_ms: _Quantity = msgspec.field(name="evacuate-ms", default=5000)


class Scheduling(msgspec.Struct):
    """What an operator may choose about the order of jobs.

    Attributes:
        shares_capacity: Whether queues get shares of a capacity that is far
            too short, by their priority.
    """

    shares_capacity: bool = msgspec.field(name="shares-capacity", default=False)


class FaultTolerance(msgspec.Struct):
    """What may be lost at the same time while all guarantees hold.

    Attributes:
        machines: How many of the VMs with a disk.
    """

    machines: int = 1


class Settings(msgspec.Struct, rename="kebab"):
    """A process's settings; unknown fields are ignored.

    Attributes:
        node: The VM's name.
        ip: Its IP number.
        zone: Its availability zone.
        port_range: The first and the last port for the project's own use.
        seeds: `control` addresses of up to three fronts.
        bootstrap: Whether the system starts for the first time.
        data_dir: The folder on the VM's disk; empty without one.
        app: The address of the runner beside a side process.
        service: The upstream of that runner.
        listen: The addresses that the process serves.
        limits: The resources of the VM.
        fault_tolerance: What may be lost at the same time.
        bounds: Limits that the infrastructure guarantees.
        scheduling: What an operator may choose about the order of jobs.
        zones: The region of each availability zone of the system; empty if
            zones can't be evacuated.
    """

    node: str
    ip: str
    zone: str
    port_range: tuple[int, int]
    seeds: tuple[str, ...] = ()
    bootstrap: bool = False
    data_dir: str = ""
    app: str = ""
    service: str = ""
    listen: Listen = msgspec.field(default_factory=Listen)
    limits: MachineLimits = msgspec.field(default_factory=MachineLimits)
    fault_tolerance: FaultTolerance = msgspec.field(
        default_factory=FaultTolerance
    )
    bounds: Bounds = msgspec.field(default_factory=Bounds)
    scheduling: Scheduling = msgspec.field(default_factory=Scheduling)
    zones: dict[str, object] = msgspec.field(default_factory=dict)


def load_settings(path: str = "") -> Settings:
    """Returns the settings of this process.

    A whole number may be written as a fraction, such as 1000.0.

    Args:
        path: The file; by default the one that the environment names.

    Raises:
        SettingsError: The file can't be read or is not valid.
    """
    path = path or os.environ.get(PATH_VARIABLE, "")
    if not path:
        problem = problem_lib.Problem(
            "", PATH_VARIABLE, "it names no settings file"
        )
        raise problem_lib.SettingsError([problem])
    try:
        data = pathlib.Path(path).read_bytes()
        settings = msgspec.toml.decode(data, type=Settings, strict=False)
    except (OSError, UnicodeError, msgspec.MsgspecError) as error:
        detail, key = _split_place(str(error))
        problem = problem_lib.Problem(path, key, detail)
        raise problem_lib.SettingsError([problem]) from error
    problems = list(_list_problems(path, settings))
    if problems:
        raise problem_lib.SettingsError(problems)
    return settings


def split_address(address: str) -> tuple[str, int]:
    """Returns the IP number and the port of an `ip:port`.

    Raises:
        ValueError: It is not a host and a port.
    """
    host, _, port = address.rpartition(":")
    if not _HOST.fullmatch(host):
        raise ValueError(f"{host!r} is not a host")
    number = int(port)
    if not 0 < number <= MAX_PORT:
        raise ValueError(f"{number} is not a port")
    return host, number


def list_seed_ips(settings: Settings) -> tuple[str, ...]:
    """Returns the IP numbers of the seeds; an odd entry names no front."""
    found = []
    for seed in settings.seeds:
        try:
            found.append(split_address(seed)[0])
        except ValueError as error:
            eliot.log_message(
                "process:seed-ignored", seed=seed, reason=str(error)
            )
    return tuple(found)


def _split_place(message: str) -> tuple[str, str]:
    """Returns what a decoder says is wrong, and the key, if it names one."""
    found = _PLACE.fullmatch(message)
    return (found[1], found[2]) if found else (message, "")


def _list_problems(
    path: str, settings: Settings
) -> collections.abc.Iterator[problem_lib.Problem]:
    """Yields what is wrong with the addresses that a process needs."""
    listen = settings.listen
    for key, address in (
        ("listen.front", listen.front),
        ("listen.ready", listen.ready),
        ("listen.control", listen.control),
        ("app", settings.app),
    ):
        if not address:
            continue
        try:
            split_address(address)
        except ValueError as error:
            yield problem_lib.Problem(path, key, f"{address!r}: {error}")
