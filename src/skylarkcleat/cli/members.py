"""`status` and `drain`: the members of the system."""

from __future__ import annotations

import typing as t

import typer

from skylarkcleat.cli import admin as admin_lib


def show_status(
    control: admin_lib.ControlOption = admin_lib.DEFAULT_CONTROL,
    token: admin_lib.TokenOption = "",
    as_json: admin_lib.JsonOption = False,
) -> None:
    """Show the control replicas' state and every member."""
    admin = admin_lib.Admin(control, token)
    status = admin.call("GET", "/v1/admin/status").body
    members = admin.call("GET", "/v1/admin/members").body["members"]
    if as_json:
        admin_lib.print_json({**status, "members": members})
        return
    typer.echo(
        f"{status['name']}: leader {status['leader'] or 'unknown'}, "
        f"revision {status['revision']}, {status['profiles']} profiles, "
        f"{status['shards_copying']} shards being copied, "
        f"{status['shards_at_risk']} at risk"
    )
    for member in members:
        typer.echo(
            f"{member['role']:<8} {member['name']:<20} {member['zone']:<12} "
            f"{member['state']:<8} {member['upstream']}"
        )


def drain(
    name: t.Annotated[str, typer.Argument(help="The member's name.")],
    reason: t.Annotated[str, typer.Option(help="Why, for the history.")] = "",
    control: admin_lib.ControlOption = admin_lib.DEFAULT_CONTROL,
    token: admin_lib.TokenOption = "",
) -> None:
    """Give a member no new work, from a few seconds on."""
    admin = admin_lib.Admin(control, token)
    headers = {"X-Reason": reason}
    admin.call("POST", f"/v1/admin/members/{name}/drain", None, headers)
    typer.echo(f"{name} is leaving")
