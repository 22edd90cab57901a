"""One life of a runner, from its start to its end."""

from __future__ import annotations

from skylarkcleat.protocol import leasing


def identify(runner: leasing.Runner | None) -> tuple[str, int]:
    """Returns what tells one life of a runner from another."""
    return (runner.id, runner.born_ms) if runner else ("", 0)


def keep_draining(
    known: leasing.Runner | None, runner: leasing.Runner | None
) -> leasing.Runner | None:
    """Returns what is said of a runner, which drains until its life ends.

    A side process that has restarted may hear an old heartbeat first.

    Args:
        known: What was said of the runner there before.
        runner: What is said now.
    """
    if known is None or runner is None or not known.draining:
        return runner
    if identify(known) != identify(runner):
        return runner
    return runner._replace(draining=True)
