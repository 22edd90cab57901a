"""What a configuration holds: queues, upstreams and limits."""

from __future__ import annotations

import typing as t

import msgspec


class Queue(t.NamedTuple):
    """How one class of jobs is treated, and where it is submitted.

    Attributes:
        name: The queue's name.
        host: The host that its callers name.
        prefix: How the paths of its jobs begin.
        upstream: The upstream whose runners run its tasks.
        timeout_ms: How long a request may take, in milliseconds.
        latency_target_ms: What a job may take beyond its work, in
            milliseconds.
        priority: 0 is the most urgent.
        max_attempts: The runs of a task that may fail before its job fails.
        stretch: How many times its work a job may take.
        unsupported: A property that this version does not serve.
    """

    name: str
    host: str
    prefix: str
    upstream: str
    timeout_ms: int
    latency_target_ms: int = 0
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    unsupported: str = ""


class Upstream(t.NamedTuple):
    """A set of runners that run the same work.

    Attributes:
        name: The upstream's name.
        admits: Whether its runners refuse what does not fit.
    """

    name: str
    admits: bool = False


class Configuration(t.NamedTuple):
    """One version of the configuration.

    Attributes:
        version: Larger is newer; 0 before there is any.
        queues: All queues.
        upstreams: All upstreams.
        original: The operator's own bytes, to be read back.
    """

    version: int = 0
    queues: tuple[Queue, ...] = ()
    upstreams: tuple[Upstream, ...] = ()
    original: bytes = b""


class Match(t.NamedTuple):
    """A queue that a path belongs to, and what follows its prefix."""

    queue: Queue
    rest: str


class QueueIndex:
    """Finds the queue of a host and a path by the longest prefix."""

    def __init__(self, configuration: Configuration) -> None:
        self.version = configuration.version
        self._queues: dict[str, list[Queue]] = {}
        for queue in configuration.queues:
            self._queues.setdefault(queue.host, []).append(queue)
        for queues in self._queues.values():
            queues.sort(key=lambda queue: -len(queue.prefix))

    def find(self, host: str, path: str) -> Match | None:
        """Returns the queue that a path belongs to, or None."""
        for queue in self._queues.get(host, ()):
            if path.startswith(queue.prefix):
                return Match(queue, path[len(queue.prefix) :])
        return None


MAX_BYTES = 1_000_000
"""The most bytes of an encoded configuration, about 2,000 queues. Records of
the log and messages between processes have room for it."""


class ContentError(ValueError):
    """A configuration that is too large, or bytes that are none."""


_DECODER = msgspec.msgpack.Decoder(Configuration)


def encode(configuration: Configuration) -> bytes:
    """Returns the bytes that `decode` takes.

    Raises:
        ContentError: They are more than `MAX_BYTES`.
    """
    data = msgspec.msgpack.encode(configuration)
    if len(data) > MAX_BYTES:
        raise ContentError(
            f"the configuration takes {len(data)} bytes, which is over the "
            f"limit of {MAX_BYTES}"
        )
    return data


def decode(data: bytes) -> Configuration:
    """Returns the configuration that `encode` was given.

    Raises:
        ContentError: The bytes are too many, or no configuration.
    """
    if len(data) > MAX_BYTES:
        raise ContentError(f"{len(data)} bytes are over {MAX_BYTES}")
    try:
        return _DECODER.decode(data)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise ContentError(f"not a configuration: {error}") from error
