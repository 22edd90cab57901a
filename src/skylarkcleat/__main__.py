"""Runs the command line: `python -m skylarkcleat`."""

from __future__ import annotations

from skylarkcleat.cli import program


def run() -> None:
    """Runs the command line."""
    program.app()


if __name__ == "__main__":
    run()
