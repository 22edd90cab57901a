"""`skylarkcleat config`: checks configurations of the platform."""

from __future__ import annotations

import functools
import traceback
import typing as t

import typer
from typer import core

from skylarkcleat.cli import admin as admin_lib
from skylarkcleat.configuration_check import json_output
from skylarkcleat.configuration_check import report as report_lib
from skylarkcleat.configuration_check import sources
from skylarkcleat.configuration_check import text_output

app = typer.Typer(
    help="Check configurations of the platform.", no_args_is_help=True
)


class _CheckCommand(core.TyperCommand):
    """Ends with 3 whenever there is no result.

    The customary codes, 2 for usage errors and 1 for unforeseen faults, say
    here that fronts refuse the document, and that it has warnings.
    """

    def parse_args(self, ctx: t.Any, args: list[str]) -> list[str]:
        try:
            return super().parse_args(ctx, args)
        except typer.TyperException as error:
            if hasattr(error, "exit_code"):
                error.exit_code = report_lib.Status.NOT_CARRIED_OUT
            raise

    def invoke(self, ctx: t.Any) -> t.Any:
        try:
            return super().invoke(ctx)
        except (typer.Exit, typer.Abort):
            raise
        except Exception as error:
            traceback.print_exc()
            code = report_lib.Status.NOT_CARRIED_OUT
            raise typer.Exit(code) from error


@app.callback()
def _group() -> None:
    """Check configurations of the platform."""


@app.command("check", cls=_CheckCommand)
def check(
    file: t.Annotated[
        str, typer.Argument(help="The configuration, as it would be sent.")
    ],
    against: t.Annotated[
        str,
        typer.Option(
            help="Compare with a file, with what is in force at the URL of a "
            "front's control address, or with a version number in force at "
            "--url."
        ),
    ] = "",
    url: t.Annotated[
        str,
        typer.Option(
            help="The URL of any front's control address, for --against "
            "VERSION.",
            envvar="SKYLARKCLEAT_FRONT_CONTROL",
        ),
    ] = "",
    attempt_ms: t.Annotated[
        int,
        typer.Option(
            help="The time of one attempt of a job; deadlines below it are "
            "reported.",
            min=0,
        ),
    ] = 0,
    as_json: admin_lib.JsonOption = False,
) -> None:
    """Check a configuration before it is sent; changes nothing.

    Exits with 0 if it is sound, 1 with warnings, 2 if fronts refuse it and 3
    if the check could not be carried out.
    """
    report = _check(file, against, url, attempt_ms)
    if as_json:
        typer.echo(json_output.encode_report(file, report))
    else:
        for line in text_output.list_lines(file, report):
            typer.echo(line)
    if report.problem:
        typer.echo(report.problem, err=True)
    raise typer.Exit(report.status)


def _check(
    file: str, against: str, url: str, attempt_ms: int
) -> report_lib.Report:
    try:
        body = sources.read_file(file)
    except sources.SourceError as error:
        return report_lib.Report(0, problem=str(error))
    load_base = None
    if against:
        load_base = functools.partial(sources.load_base, against, url)
    checks = report_lib.create_checks(attempt_ms)
    return report_lib.check_document(body, checks, load_base)
