from __future__ import annotations

import json
import pathlib
import re
import subprocess
import sys

import pytest

ROOT = pathlib.Path(__file__).parent.parent
_LIST_LOADED = """
import importlib.metadata, json, sys
found = importlib.metadata.packages_distributions()
before = set(sys.modules)
import {module}
loaded = {{name.partition(".")[0] for name in set(sys.modules) - before}}
names = {{name for top in loaded for name in found.get(top, ())}}
print(json.dumps(sorted(names)))
"""


def _normalize(name):
    return re.sub(r"[-_.]+", "-", name).lower()


@pytest.mark.parametrize("daemon", ["front_daemon", "side_daemon"])
def test_the_deployment_installs_every_library_that_is_loaded(daemon):
    code = _LIST_LOADED.format(module=f"skylarkcleat.platform.{daemon}")
    printed = subprocess.run(
        [sys.executable, "-c", code],
        check=True,
        capture_output=True,
        text=True,
        timeout=30,
    ).stdout
    loaded = {_normalize(name) for name in json.loads(printed)}
    lines = (ROOT / "deploy/requirements.txt").read_text().splitlines()
    listed = {_normalize(line.partition("==")[0]) for line in lines}
    assert loaded - listed <= {"skylarkcleat"}
