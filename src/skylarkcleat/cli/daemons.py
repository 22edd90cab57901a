"""Commands that run one role each."""

from __future__ import annotations

import typing as t

import aiomisc
import typer
import zmq

from skylarkcleat import daemon
from skylarkcleat import problem as problem_lib
from skylarkcleat.agent import service as agent_service
from skylarkcleat.cli import exit_code
from skylarkcleat.control import service as control_service
from skylarkcleat.entry import service as entry_service
from skylarkcleat.settings import agent as agent_settings
from skylarkcleat.settings import control as control_settings
from skylarkcleat.settings import entry as entry_settings
from skylarkcleat.standin import service as runner_service

SettingsPath = t.Annotated[
    str, typer.Argument(help="The settings file, in TOML.")
]
_T = t.TypeVar("_T")


def run_entry(settings: SettingsPath) -> None:
    """Run an entry: HTTP to callers, tasks to agents."""
    loaded = _load(entry_settings.load_entry_settings, settings)
    run_or_exit(entry_service.EntryService(settings=loaded))


def run_agent(settings: SettingsPath) -> None:
    """Run the agent beside an upstream."""
    loaded = _load(agent_settings.load_agent_settings, settings)
    run_or_exit(agent_service.AgentService(settings=loaded))


def run_control(
    settings: SettingsPath,
    found: t.Annotated[
        bool,
        typer.Option(
            "--found", help="Found the log if every data folder is empty."
        ),
    ] = False,
) -> None:
    """Run a control replica."""
    loaded = _load(control_settings.load_control_settings, settings)
    run_or_exit(
        control_service.ControlService(settings=loaded, is_founding=found)
    )


def run_runner(
    host: t.Annotated[str, typer.Option(help="IP number.")] = "127.0.0.1",
    port: t.Annotated[int, typer.Option(help="TCP port.")] = 9000,
    speed: t.Annotated[float, typer.Option(help="Divides sleeps.")] = 1.0,
) -> None:
    """Run a stand-in runner that does as each task's payload says."""
    run_or_exit(runner_service.RunnerService(host=host, port=port, speed=speed))


def run_or_exit(*services: aiomisc.Service) -> None:
    """Runs services; says which address cannot be used, if that ends them."""
    try:
        daemon.run_services(*services)
    except (OSError, zmq.ZMQError) as error:
        typer.echo(f"skylarkcleat: {error}", err=True)
        raise typer.Exit(exit_code.ExitCode.BAD_ADDRESS) from error


def _load(load: t.Callable[[str], _T], path: str) -> _T:
    try:
        return load(path)
    except problem_lib.SettingsError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(exit_code.ExitCode.BAD_SETTINGS) from error
