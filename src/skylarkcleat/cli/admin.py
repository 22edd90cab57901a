"""Calls of the admin API on behalf of an operator."""

from __future__ import annotations

import asyncio
import typing as t

import aiohttp
import msgspec
import typer

from skylarkcleat.cli import exit_code

DEFAULT_CONTROL = "http://127.0.0.1:7480"
_CONFLICT = 412
_BAD = 400

ControlOption = t.Annotated[
    str,
    typer.Option(
        "--control",
        help="The URL of any control replica's admin API.",
        envvar="SKYLARKCLEAT_CONTROL",
    ),
]
TokenOption = t.Annotated[
    str,
    typer.Option(
        "--token", help="The operator's token.", envvar="SKYLARKCLEAT_TOKEN"
    ),
]
JsonOption = t.Annotated[
    bool, typer.Option("--json", help="Print one JSON object.")
]


class Reply(t.NamedTuple):
    """What the admin API answered.

    Attributes:
        status: The HTTP status.
        body: The object in its body.
        etag: The version of what it shows; empty if it has none.
    """

    status: int
    body: dict[str, t.Any]
    etag: str


class Admin(t.NamedTuple):
    """Where the admin API is, and who asks.

    Attributes:
        control: The URL of any control replica.
        token: The operator's token.
    """

    control: str
    token: str

    def call(
        self,
        method: str,
        path: str,
        body: t.Any = None,
        headers: t.Mapping[str, str] | None = None,
    ) -> Reply:
        """Returns the answer to a call; ends the program if there is none.

        Args:
            method: The HTTP method.
            path: Such as `/v1/admin/status`.
            body: An object to send; nothing if None.
            headers: More headers.
        """
        reply = asyncio.run(self._call(method, path, body, headers or {}))
        if reply.status >= _BAD:
            _fail(reply)
        return reply

    async def _call(
        self,
        method: str,
        path: str,
        body: t.Any,
        headers: t.Mapping[str, str],
    ) -> Reply:
        headers = {"Authorization": f"Bearer {self.token}", **headers}
        url = self.control.rstrip("/") + path
        data = None if body is None else msgspec.json.encode(body)
        try:
            async with (
                aiohttp.ClientSession() as session,
                session.request(
                    method, url, data=data, headers=headers
                ) as response,
            ):
                return await _read(response)
        except (aiohttp.ClientError, OSError, ValueError) as error:
            typer.echo(f"{url}: {error}", err=True)
            raise typer.Exit(exit_code.ExitCode.UNREACHABLE) from error


async def _read(response: aiohttp.ClientResponse) -> Reply:
    data = await response.read()
    body = msgspec.json.decode(data) if data else {}
    return Reply(response.status, body, response.headers.get("ETag", ""))


def _fail(reply: Reply) -> t.NoReturn:
    typer.echo(f"{reply.status}: {reply.body.get('detail', '')}", err=True)
    for fault in reply.body.get("errors", ()):
        typer.echo(f"  {fault['key']}: {fault['detail']}", err=True)
    won = reply.body.get("won")
    if won is not None:
        typer.echo(
            f"  in force is version {won['version']}, by "
            f"{won['operator']}: {won['reason']}",
            err=True,
        )
    is_conflict = reply.status == _CONFLICT
    code = exit_code.ExitCode.CONFLICT
    raise typer.Exit(code if is_conflict else exit_code.ExitCode.FAILED)


def print_json(body: t.Any) -> None:
    """Prints an object as one line of JSON."""
    typer.echo(msgspec.json.encode(body).decode())
