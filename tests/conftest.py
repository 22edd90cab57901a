from __future__ import annotations

import asyncio
import gc
import os

import eliot
import pytest

from tests import fleet as fleet_lib
from tests import known_red
from tests import platform_fleet

# Without any destination eliot holds every line for the first one that comes.
eliot.add_destinations(lambda _: None)


@pytest.fixture
def start_fleet(tmp_path):
    """Starts fleets of real processes and kills them at the test's end."""
    fleets = []

    def start(**options):
        fleet = fleet_lib.Fleet(tmp_path, **options)
        fleets.append(fleet.__enter__())
        return fleet

    yield start
    for fleet in fleets:
        fleet.__exit__()


@pytest.fixture(autouse=True, scope="module")
def collect_garbage():
    """Ends here what a module's tests left behind, not within a later test."""
    yield
    gc.collect()


def pytest_collection_modifyitems(config, items):
    """Passes over the tests that are known to fail, unless one is named."""
    red = {entry.test for entry in known_red.parse(known_red.FILE.read_text())}
    named = {argument for argument in config.args if "::" in argument}
    passed_over = [item for item in items if item.nodeid in red and not named]
    if passed_over:
        config.hook.pytest_deselected(items=passed_over)
        items[:] = [item for item in items if item not in passed_over]


def pytest_terminal_summary(terminalreporter):
    """Prints the tests that are known to fail."""
    for entry in known_red.parse(known_red.FILE.read_text()):
        terminalreporter.write_line(
            f"KNOWN RED {entry.test}: {entry.seen} (issue {entry.issue})"
        )


@pytest.fixture
def worker_block() -> int:
    """A second byte of loopback addresses that no other test run uses."""
    return 16 + os.getpid() % 200


@pytest.fixture
def log_lines():
    """The log lines that are written during a test."""
    lines = []
    eliot.add_destinations(lines.append)
    yield lines
    eliot.remove_destination(lines.append)


@pytest.fixture
def run_with_fleet(tmp_path, worker_block):
    """Runs a coroutine function beside fronts and side processes.

    It gets a client, whose `fleet.stack` closes what it adds.
    """

    def run(act):
        async def main():
            fleet = platform_fleet.open_fleet(tmp_path, worker_block)
            async with fleet as client:
                await act(client)

        asyncio.run(main())

    return run


@pytest.fixture
def run_with_configured_fleet(run_with_fleet):
    """Does the same once there is a configuration and jobs are served."""

    def run(act):
        async def configure_and_act(client):
            await client.configure()
            await act(client)

        run_with_fleet(configure_and_act)

    return run
