"""`skylarkcleat settings`: checks settings files."""

from __future__ import annotations

import typing as t

import typer

from skylarkcleat.cli import exit_code
from skylarkcleat.settings import check as check_lib

app = typer.Typer(help="Check settings files.", no_args_is_help=True)


@app.callback()
def _group() -> None:
    """Check settings files."""


@app.command("check")
def check(
    files: t.Annotated[
        list[str], typer.Argument(help="Settings files of any role.")
    ],
) -> None:
    """Name every fault of settings files, one a line."""
    problems = [
        problem for file in files for problem in check_lib.check_settings(file)
    ]
    for problem in problems:
        typer.echo(str(problem), err=True)
    if problems:
        raise typer.Exit(exit_code.ExitCode.BAD_SETTINGS)
    typer.echo(f"{len(files)} files can be used")
