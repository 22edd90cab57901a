"""Signals that reach a process of the platform while it starts."""

from __future__ import annotations

import os
import subprocess
import sys

import pytest

# Sends itself a signal before each module that the role imports.
SCRIPT = """
import importlib, os, signal, sys
from skylarkcleat.platform import __main__ as program

load = importlib.import_module

def load_after_signal(name):
    os.kill(os.getpid(), signal.SIGHUP)
    return load(name)

importlib.import_module = load_after_signal
sys.exit(program.main([sys.argv[1]]))
"""


# A process that was told of changed settings in its first half second ended.
@pytest.mark.parametrize("role", ["front", "side"])
def test_a_change_of_the_settings_ends_no_process_that_starts(role, tmp_path):
    environment = os.environ | {
        "SKYLARKCLEAT_SETTINGS": str(tmp_path / "missing.toml"),
        "PYTHONPATH": "src",
    }
    process = subprocess.run(
        [sys.executable, "-c", SCRIPT, role],
        env=environment,
        capture_output=True,
        check=False,
    )
    # The status of settings that can't be read, which it comes to afterwards.
    assert process.returncode == 2
