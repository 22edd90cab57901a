"""The program's commands."""

from __future__ import annotations

import typer

from skylarkcleat.cli import account
from skylarkcleat.cli import config
from skylarkcleat.cli import daemons
from skylarkcleat.cli import dev
from skylarkcleat.cli import members
from skylarkcleat.cli import profile
from skylarkcleat.cli import replica
from skylarkcleat.cli import settings
from skylarkcleat.cli import submission

app = typer.Typer(
    name="skylarkcleat",
    help="Dispatch sub-second tasks and answer for every outcome.",
    no_args_is_help=True,
    add_completion=False,
    pretty_exceptions_enable=False,
)
app.command("entry")(daemons.run_entry)
app.command("agent")(daemons.run_agent)
app.command("control")(daemons.run_control)
app.command("runner", hidden=True)(daemons.run_runner)
app.command("dev")(dev.run_dev)
app.command("submit")(submission.submit)
app.command("explain")(account.explain)
app.command("events")(account.show_events)
app.command("summary")(account.show_summary)
app.command("status")(members.show_status)
app.command("drain")(members.drain)
app.add_typer(profile.app, name="profile")
app.add_typer(replica.app, name="replica")
app.add_typer(settings.app, name="settings")
app.add_typer(config.app, name="config")
