from __future__ import annotations

import gc
import os

import eliot
import pytest

from tests import fleet as fleet_lib
from tests import known_red

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
