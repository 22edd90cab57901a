"""`explain`, `events` and `summary`: what became of the work."""

from __future__ import annotations

import datetime
import pathlib
import time
import typing as t

import typer

from skylarkcleat.cli import admin as admin_lib
from skylarkcleat.cli import exit_code
from skylarkcleat.timeline import captured

_FOLLOW_S = 1.0
_MS_PER_S = 1000


def explain(
    job: t.Annotated[str, typer.Argument(help="The job's id.")],
    control: admin_lib.ControlOption = admin_lib.DEFAULT_CONTROL,
    token: admin_lib.TokenOption = "",
    as_json: admin_lib.JsonOption = False,
    logs: t.Annotated[
        pathlib.Path | None,
        typer.Option(
            help="A file of captured log lines of the platform's processes; "
            "without it control is asked.",
            exists=True,
            dir_okay=False,
        ),
    ] = None,
) -> None:
    """Say in plain words why a job was late, lost, refused or doubled."""
    if logs is not None:
        _explain_captured(logs, job, as_json)
        return
    admin = admin_lib.Admin(control, token)
    body = admin.call("GET", f"/v1/admin/jobs/{job}").body
    if as_json:
        admin_lib.print_json(body)
        return
    typer.echo(body["summary"])
    typer.echo(f"cause: {body['cause']}")
    for each in body["missing"]:
        typer.echo(f"not known: {each['process']} {each['reason']}")
    for line in body["lines"]:
        typer.echo(_format_line(line))


def _explain_captured(logs: pathlib.Path, job: str, as_json: bool) -> None:
    with open(logs, encoding="utf-8", errors="replace") as rows:
        account = captured.explain_job(captured.read_lines(rows), job)
    sentence = captured.SENTENCES[account.cause]
    if as_json:
        lines = [line.fields for line in account.lines]
        body = {"job": job, "cause": account.cause.value, "lines": lines}
        admin_lib.print_json(body | {"summary": sentence})
        return
    typer.echo(sentence)
    typer.echo(f"cause: {account.cause.value}")
    for line in account.lines:
        typer.echo(_format_captured(line))
    if not account.lines:
        raise typer.Exit(exit_code.ExitCode.UNKNOWN)


def _format_captured(line: captured.Line) -> str:
    hidden = ("message_type", "task_uuid", "task_level", "timestamp", "process")
    fields = " ".join(
        f"{name}={value}"
        for name, value in line.fields.items()
        if name not in hidden
    )
    place = line.prefix or (
        f"{line.fields.get('timestamp', '')} {line.fields.get('process', '')}"
    )
    return f"{place} {line.kind} {fields}"


def show_events(
    control: admin_lib.ControlOption = admin_lib.DEFAULT_CONTROL,
    token: admin_lib.TokenOption = "",
    limit: t.Annotated[
        int, typer.Option(help="How many events.", min=1, max=512)
    ] = 100,
    text: t.Annotated[
        str, typer.Option("--search", help="Only lines that hold this.")
    ] = "",
    follow: t.Annotated[
        bool, typer.Option("--follow", help="Go on until interrupted.")
    ] = False,
    as_json: admin_lib.JsonOption = False,
) -> None:
    """Show the latest events over all processes, causes before effects."""
    admin = admin_lib.Admin(control, token)
    seen = 0
    while True:
        path = f"/v1/admin/events?limit={limit}"
        for event in admin.call("GET", path).body["events"]:
            if event["stamp"] > seen:
                seen = event["stamp"]
                _show_event(event, text, as_json)
        if not follow:
            return
        time.sleep(_FOLLOW_S)


def show_summary(
    control: admin_lib.ControlOption = admin_lib.DEFAULT_CONTROL,
    token: admin_lib.TokenOption = "",
    minutes: t.Annotated[
        int, typer.Option(help="The period up to now.", min=1)
    ] = 60,
    as_json: admin_lib.JsonOption = False,
) -> None:
    """Say what went wrong over a period, by profile and cause."""
    admin = admin_lib.Admin(control, token)
    body = admin.call("GET", f"/v1/admin/summary?minutes={minutes}").body
    if as_json:
        admin_lib.print_json(body)
        return
    if not body["rows"]:
        typer.echo(f"nothing went wrong in the last {minutes} minutes")
    for row in body["rows"]:
        typer.echo(
            f"{row['jobs']:>6} jobs  {row['profile']}: {row['cause']}, "
            f"such as {row['samples'][0]}"
        )


def _show_event(event: dict[str, t.Any], text: str, as_json: bool) -> None:
    line = f"{_format_line(event)}  {event['job']}".rstrip()
    if text not in line:
        return
    if as_json:
        admin_lib.print_json(event)
    else:
        typer.echo(line)


def _format_line(line: dict[str, t.Any]) -> str:
    moment = datetime.datetime.fromtimestamp(
        line["wall_ms"] / _MS_PER_S, datetime.UTC
    )
    stamp = moment.strftime("%H:%M:%S.%f")[:-3]
    return f"{stamp} {line['process']:<16} {line['text']}"
