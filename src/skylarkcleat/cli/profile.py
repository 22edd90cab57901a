"""`skylarkcleat profile`: shows and changes profiles."""

from __future__ import annotations

import datetime
import pathlib
import tomllib
import typing as t
import uuid

import typer

from skylarkcleat.cli import admin as admin_lib
from skylarkcleat.cli import exit_code

_MS_PER_S = 1000
_PATH = "/v1/admin/profiles"

app = typer.Typer(help="Show and change profiles.", no_args_is_help=True)

NameArgument = t.Annotated[str, typer.Argument(help="The profile's name.")]
FileArgument = t.Annotated[
    pathlib.Path,
    typer.Argument(
        help="The profile's content, in TOML.", exists=True, dir_okay=False
    ),
]


@app.command("list")
def list_profiles(
    control: admin_lib.ControlOption = admin_lib.DEFAULT_CONTROL,
    token: admin_lib.TokenOption = "",
    as_json: admin_lib.JsonOption = False,
) -> None:
    """List every profile."""
    body = admin_lib.Admin(control, token).call("GET", _PATH).body
    if as_json:
        admin_lib.print_json(body)
        return
    for profile in body["profiles"]:
        typer.echo(
            f"{profile['name']} version {profile['version']}: "
            f"urgency {profile['urgency']}, weight {profile['weight']}, "
            f"upstreams {', '.join(profile['upstreams'])}"
        )


@app.command("show")
def show(
    name: NameArgument,
    control: admin_lib.ControlOption = admin_lib.DEFAULT_CONTROL,
    token: admin_lib.TokenOption = "",
) -> None:
    """Show one profile."""
    admin = admin_lib.Admin(control, token)
    admin_lib.print_json(admin.call("GET", f"{_PATH}/{name}").body)


@app.command("apply")
def apply(
    name: NameArgument,
    file: FileArgument,
    version: t.Annotated[
        int,
        typer.Option(help="The version to replace; 0 creates.", min=0),
    ],
    reason: t.Annotated[str, typer.Option(help="Why, for the history.")] = "",
    control: admin_lib.ControlOption = admin_lib.DEFAULT_CONTROL,
    token: admin_lib.TokenOption = "",
) -> None:
    """Change a profile, unless another operator was first."""
    headers = {
        "If-Match": f'"{version}"',
        "Idempotency-Key": str(uuid.uuid4()),
        "X-Reason": reason,
    }
    admin = admin_lib.Admin(control, token)
    body = _read(file)
    reply = admin.call("PUT", f"{_PATH}/{name}", body, headers)
    typer.echo(f"{name} has version {reply.body['version']}")


@app.command("diff")
def diff(
    name: NameArgument,
    file: FileArgument,
    control: admin_lib.ControlOption = admin_lib.DEFAULT_CONTROL,
    token: admin_lib.TokenOption = "",
) -> None:
    """Show what applying a file would change; exits with 1 if anything."""
    admin = admin_lib.Admin(control, token)
    current = admin.call("GET", f"{_PATH}/{name}").body
    wanted = _read(file)
    changed = [key for key in wanted if wanted[key] != current.get(key)]
    for key in changed:
        typer.echo(f"{key}: {current.get(key)!r} -> {wanted[key]!r}")
    if changed:
        raise typer.Exit(exit_code.ExitCode.FAILED)


@app.command("history")
def show_history(
    control: admin_lib.ControlOption = admin_lib.DEFAULT_CONTROL,
    token: admin_lib.TokenOption = "",
    as_json: admin_lib.JsonOption = False,
) -> None:
    """Show who changed what, when and why."""
    admin = admin_lib.Admin(control, token)
    body = admin.call("GET", "/v1/admin/history").body
    if as_json:
        admin_lib.print_json(body)
        return
    for entry in body["entries"]:
        moment = datetime.datetime.fromtimestamp(
            entry["at_ms"] / _MS_PER_S, datetime.UTC
        )
        typer.echo(
            f"{moment:%Y-%m-%d %H:%M:%S} {entry['operator']} "
            f"{entry['verb']} {entry['subject']}: {entry['reason']}"
        )


def _read(file: pathlib.Path) -> dict[str, t.Any]:
    try:
        return tomllib.loads(file.read_text())
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        typer.echo(f"{file}: is not TOML: {error}", err=True)
        raise typer.Exit(exit_code.ExitCode.BAD_SETTINGS) from error
