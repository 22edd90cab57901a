"""`skylarkcleat dev`: a whole system inside one process."""

from __future__ import annotations

import asyncio
import pathlib
import shutil
import tempfile
import typing as t

import aiohttp
import aiomisc
import typer

from skylarkcleat.agent import service as agent_service
from skylarkcleat.cli import daemons
from skylarkcleat.control import service as control_service
from skylarkcleat.entry import service as entry_service
from skylarkcleat.settings import agent as agent_settings
from skylarkcleat.settings import control as control_settings
from skylarkcleat.settings import entry as entry_settings
from skylarkcleat.settings import sections
from skylarkcleat.standin import service as runner_service

HOST = "127.0.0.1"
UPSTREAM = "order-taking"
ZONES = ("waycross", "valdosta", "brunswick")
OPERATOR_TOKEN = "dev"
# SHA-256 of OPERATOR_TOKEN.
_TOKEN_SHA256 = (
    "ef260e9aa3c673af240d17a2660480361a8e081d1ffeca2a5ed0e3219fc18567"
)
_CONTROL_PORT = 7400
_REPLICA_PORT = 7401
_ACCOUNT_PORT = 7402
_ADMIN_PORT = 7480
_ENTRY_PEER_PORT = 7410
_AGENT_PEER_PORT = 7420
_AGENT_HTTP_PORT = 7490
_RUNNER_PORT = 9000
_RETRY_S = 0.1
_CREATED = 200
_EXISTS = 412
_PROFILES = (
    ("votive-order", {"upstreams": [UPSTREAM], "urgency": 9, "weight": 20}),
    ("stock-check", {"upstreams": [UPSTREAM], "idempotent": True}),
)


class ProfileService(aiomisc.Service):
    """Creates the profiles that a new system starts with."""

    url: str

    async def start(self) -> None:
        """Creates each profile that does not exist yet."""
        headers = {"Authorization": f"Bearer {OPERATOR_TOKEN}"}
        async with aiohttp.ClientSession(self.url, headers=headers) as session:
            for name, body in _PROFILES:
                while not await _create_profile(session, name, body):
                    await asyncio.sleep(_RETRY_S)


class AnnouncementService(aiomisc.Service):
    """Prints the addresses once the entry takes jobs."""

    url: str
    agents: int

    async def start(self) -> None:
        """Starts to ask the entry; returns at once."""
        self._task = asyncio.create_task(self._announce())

    async def stop(self, exception: Exception | None = None) -> None:
        """Stops asking."""
        del exception
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)

    async def _announce(self) -> None:
        async with aiohttp.ClientSession(self.url) as session:
            while not await _is_ready(session, self.agents):
                await asyncio.sleep(_RETRY_S)
        typer.echo(f"jobs:  {self.url}/v1/jobs")
        typer.echo(
            f"admin: http://{HOST}:{_ADMIN_PORT} (token: {OPERATOR_TOKEN})"
        )


async def _is_ready(session: aiohttp.ClientSession, agents: int) -> bool:
    """Returns whether the entry takes jobs and knows every agent."""
    try:
        async with session.get("/readyz") as response:
            found = await response.json()
    except (aiohttp.ClientError, ValueError):
        return False
    return bool(found["ready"]) and found["agents"] >= agents


async def _create_profile(
    session: aiohttp.ClientSession, name: str, body: dict[str, t.Any]
) -> bool:
    """Returns whether the profile exists by now."""
    headers = {"If-Match": '"0"', "X-Reason": "first start"}
    path = f"/v1/admin/profiles/{name}"
    try:
        async with session.put(path, json=body, headers=headers) as response:
            return response.status in (_CREATED, _EXISTS)
    except aiohttp.ClientError:
        return False


def run_dev(
    port: t.Annotated[int, typer.Option(help="The entry's HTTP port.")] = 8080,
    agents: t.Annotated[
        int, typer.Option(help="How many agents and runners.", min=1, max=20)
    ] = 3,
    data_dir: t.Annotated[
        str, typer.Option(help="The control replica's folder; new if empty.")
    ] = "",
) -> None:
    """Run a whole system in one process, with stand-in runners."""
    folder = pathlib.Path(data_dir or tempfile.mkdtemp(prefix="skylarkcleat-"))
    services = _create_services(port, agents, folder)
    try:
        daemons.run_or_exit(*services)
    finally:
        if not data_dir:
            shutil.rmtree(folder, ignore_errors=True)


def _create_services(
    port: int, agents: int, folder: pathlib.Path
) -> list[aiomisc.Service]:
    services: list[aiomisc.Service] = [
        control_service.ControlService(
            settings=_create_control(folder), is_founding=True
        )
    ]
    for number in range(agents):
        services.append(
            runner_service.RunnerService(
                host=HOST, port=_RUNNER_PORT + number, speed=1.0
            )
        )
        services.append(
            agent_service.AgentService(settings=_create_agent(number))
        )
    services.append(entry_service.EntryService(settings=_create_entry(port)))
    services.append(ProfileService(url=f"http://{HOST}:{_ADMIN_PORT}"))
    services.append(
        AnnouncementService(url=f"http://{HOST}:{port}", agents=agents)
    )
    return services


def _create_control(folder: pathlib.Path) -> control_settings.ControlSettings:
    name = "control-1"
    peer = control_settings.ReplicaPeer(
        name,
        f"tcp://{HOST}:{_REPLICA_PORT}",
        f"tcp://{HOST}:{_CONTROL_PORT}",
        f"http://{HOST}:{_ADMIN_PORT}",
    )
    return control_settings.ControlSettings(
        name=name,
        zone=ZONES[0],
        http=sections.HttpSettings(HOST, _ADMIN_PORT),
        peer=sections.PeerSettings(HOST, _CONTROL_PORT),
        account=sections.PeerSettings(HOST, _ACCOUNT_PORT),
        replica=control_settings.ReplicaSettings(str(folder), (peer,)),
        operators=(control_settings.Operator("dev", _TOKEN_SHA256),),
        incidents=control_settings.IncidentSettings(),
        log=sections.LogSettings(level="error"),
    )


def _create_agent(number: int) -> agent_settings.AgentSettings:
    return agent_settings.AgentSettings(
        name=f"agent-{number + 1}",
        zone=ZONES[number % len(ZONES)],
        control=(f"tcp://{HOST}:{_CONTROL_PORT}",),
        http=sections.HttpSettings(HOST, _AGENT_HTTP_PORT + number),
        peer=sections.PeerSettings(HOST, _AGENT_PEER_PORT + number),
        runner=agent_settings.RunnerSettings(
            UPSTREAM, f"http://{HOST}:{_RUNNER_PORT + number}/run"
        ),
        log=sections.LogSettings(level="error"),
        drain=sections.DrainSettings(1.0),
    )


def _create_entry(port: int) -> entry_settings.EntrySettings:
    return entry_settings.EntrySettings(
        name="entry-1",
        zone=ZONES[0],
        control=(f"tcp://{HOST}:{_CONTROL_PORT}",),
        http=entry_settings.EntryHttpSettings(HOST, port),
        peer=sections.PeerSettings(HOST, _ENTRY_PEER_PORT),
        log=sections.LogSettings(level="error"),
        limits=entry_settings.LimitSettings(),
        drain=sections.DrainSettings(1.0),
    )
