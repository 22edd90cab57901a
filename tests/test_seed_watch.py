"""Seeds that change while a process runs."""

from __future__ import annotations

import pytest

from skylarkcleat.platform import seed_watch

SETTINGS = """\
node = "n"
ip = "10.0.0.9"
zone = "z"
port-range = [1, 2]
seeds = {seeds}
"""


class Recorder(seed_watch.SeedListener):
    """Keeps the seeds that it is told."""

    def __init__(self):
        self.seeds = []

    def update_seeds(self, seeds):
        self.seeds.append(seeds)


@pytest.fixture
def path(tmp_path):
    return tmp_path / "settings.toml"


@pytest.fixture
def recorder():
    return Recorder()


@pytest.fixture
def watch(path, recorder):
    return seed_watch.SeedWatch(str(path), recorder)


def write(path, *seeds):
    path.write_text(SETTINGS.format(seeds=[f"{seed}:80" for seed in seeds]))


def test_seeds_are_passed_on_once_for_each_change(path, watch, recorder):
    write(path, "10.0.0.1")
    watch.check()
    watch.check()
    assert recorder.seeds == [("10.0.0.1",)]
    write(path, "10.0.0.1", "10.0.0.2")
    watch.check()
    assert recorder.seeds[1:] == [("10.0.0.1", "10.0.0.2")]


@pytest.mark.parametrize("odd", ["", "seeds = 3", "\x00", SETTINGS[:20]])
def test_a_file_that_can_not_be_read_changes_nothing(
    path, watch, recorder, log_lines, odd
):
    path.write_text(odd)
    watch.check()
    assert not recorder.seeds
    kinds = [line["message_type"] for line in log_lines]
    assert kinds == ["process:settings-ignored"]
    write(path, "10.0.0.2")
    watch.check()
    assert recorder.seeds == [("10.0.0.2",)]


def test_a_file_without_seeds_or_none_at_all_changes_nothing(
    path, watch, recorder
):
    watch.check()
    write(path)
    watch.check()
    assert not recorder.seeds
