"""`skylarkcleat replica`: the control replicas' part in the log."""

from __future__ import annotations

import typing as t

import typer

from skylarkcleat.cli import admin as admin_lib

app = typer.Typer(help="Look after control replicas.", no_args_is_help=True)

NameArgument = t.Annotated[str, typer.Argument(help="The replica's name.")]


@app.command("show")
def show(
    control: admin_lib.ControlOption = admin_lib.DEFAULT_CONTROL,
    token: admin_lib.TokenOption = "",
    as_json: admin_lib.JsonOption = False,
) -> None:
    """Show the replica that is asked, and whether its repair is done."""
    admin = admin_lib.Admin(control, token)
    body = admin.call("GET", "/v1/admin/replica").body
    if as_json:
        admin_lib.print_json(body)
        return
    repaired = "repaired" if body["is_repaired"] else "not repaired"
    typer.echo(
        f"{body['identity']}: {body['role']}, leader "
        f"{body['leader'] or 'unknown'}, term {body['term']}, committed "
        f"{body['commit_index']} of {body['last_index']}, {repaired}"
    )
    typer.echo(f"voters: {', '.join(body['voters'])}")
    typer.echo(f"learners: {', '.join(body['learners']) or 'none'}")


@app.command("admit")
def admit(
    name: NameArgument,
    control: admin_lib.ControlOption = admin_lib.DEFAULT_CONTROL,
    token: admin_lib.TokenOption = "",
) -> None:
    """Let a replica vote that has caught up; ask the leader."""
    admin = admin_lib.Admin(control, token)
    admin.call("POST", f"/v1/admin/replicas/{name}/admit")
    typer.echo(f"{name} votes")


@app.command("expel")
def expel(
    name: NameArgument,
    control: admin_lib.ControlOption = admin_lib.DEFAULT_CONTROL,
    token: admin_lib.TokenOption = "",
) -> None:
    """Leave a replica out; ask the leader."""
    admin = admin_lib.Admin(control, token)
    admin.call("POST", f"/v1/admin/replicas/{name}/expel")
    typer.echo(f"{name} is left out")
