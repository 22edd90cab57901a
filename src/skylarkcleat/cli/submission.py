"""`skylarkcleat submit`: runs a job and shows its end."""

from __future__ import annotations

import asyncio
import json
import typing as t

import rich.console
import typer

from skylarkcleat import client as client_lib
from skylarkcleat.cli import exit_code
from skylarkcleat.model import failure as failure_lib

_EXIT_CODES = {
    failure_lib.Outcome.NOT_RUN: exit_code.ExitCode.NOT_RUN,
    failure_lib.Outcome.FAILED: exit_code.ExitCode.FAILED,
    failure_lib.Outcome.UNKNOWN: exit_code.ExitCode.UNKNOWN,
}


def submit(
    tasks: t.Annotated[
        typer.FileText,
        typer.Argument(
            help="A JSON list of payloads, or one payload a line; "
            "- reads standard input."
        ),
    ],
    profile: t.Annotated[str, typer.Option(help="The profile's name.")],
    entry: t.Annotated[
        str, typer.Option(help="The entry's URL.", envvar="SKYLARKCLEAT_ENTRY")
    ] = "http://127.0.0.1:8080",
    job: t.Annotated[
        str, typer.Option(help="The id of a job to submit again.")
    ] = "",
    deadline_ms: t.Annotated[
        int, typer.Option(help="How long to wait; 0 asks the profile.", min=0)
    ] = 0,
    as_json: t.Annotated[
        bool, typer.Option("--json", help="Print one JSON object.")
    ] = False,
) -> None:
    """Submit a job and wait for its answers."""
    payloads = _parse_tasks(tasks.read())
    console = rich.console.Console(stderr=True)
    waiting = f"{len(payloads)} tasks under profile {profile}"
    with console.status(waiting):
        result = asyncio.run(
            _submit(entry, profile, payloads, job, deadline_ms)
        )
    _show(result, as_json)
    if isinstance(result, client_lib.JobFailure):
        raise typer.Exit(_EXIT_CODES[result.failure.outcome])


async def _submit(
    entry: str,
    profile: str,
    payloads: list[t.Any],
    job: str,
    deadline_ms: int,
) -> client_lib.JobResult | client_lib.JobFailure:
    async with client_lib.create_client(entry) as client:
        return await client.submit_job(profile, payloads, job, deadline_ms)


def _parse_tasks(text: str) -> list[t.Any]:
    try:
        whole = json.loads(text)
    except ValueError:
        return [
            _parse_line(line, number)
            for number, line in enumerate(text.splitlines(), 1)
            if line.strip()
        ]
    return whole if isinstance(whole, list) else [whole]


def _parse_line(line: str, number: int) -> t.Any:
    try:
        return json.loads(line)
    except ValueError as error:
        raise typer.BadParameter(
            f"line {number} is not JSON: {error}", param_hint="TASKS"
        ) from error


def _show(
    result: client_lib.JobResult | client_lib.JobFailure, as_json: bool
) -> None:
    if as_json:
        typer.echo(json.dumps(_describe(result)))
    elif isinstance(result, client_lib.JobResult):
        for answer in result.answers:
            typer.echo(json.dumps(answer))
        typer.echo(f"job {result.job} is answered", err=True)
    else:
        failure = result.failure
        typer.echo(
            f"job {result.job}: {failure.outcome} ({failure.cause}) at "
            f"{failure.step} on {failure.peer}: {failure.detail}",
            err=True,
        )


def _describe(
    result: client_lib.JobResult | client_lib.JobFailure,
) -> dict[str, t.Any]:
    if isinstance(result, client_lib.JobResult):
        return result._asdict()
    return {"job": result.job, **result.failure._asdict()}
