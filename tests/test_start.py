"""What a daemon imports, and so its start-up time and memory."""

from __future__ import annotations

import subprocess
import sys

import pytest

import skylarkcleat


def _run(code: str) -> str:
    done = subprocess.run(
        [sys.executable, "-c", code],
        capture_output=True,
        text=True,
        check=True,
        env={"PYTHONPATH": "src"},
    )
    return done.stdout.strip()


def test_the_package_imports_no_library_on_its_own():
    code = "import sys, skylarkcleat; print('aiohttp' in sys.modules)"
    assert _run(code) == "False"


@pytest.mark.parametrize("role", ["front", "side"])
def test_a_daemon_imports_no_client_of_ours_and_no_command_line(role):
    code = (
        f"import sys, skylarkcleat.platform.{role}_daemon; "
        "print([name for name in ('skylarkcleat.client', 'typer', 'rich', "
        "'pydantic') if name in sys.modules])"
    )
    assert _run(code) == "[]"


def test_a_daemon_reads_no_certificates():
    code = (
        "import runpy, ssl, sys\n"
        "real = ssl.SSLContext.load_default_certs\n"
        "def load(context, *rest):\n"
        "    real(context, *rest)\n"
        "    print(len(context.get_ca_certs()))\n"
        "ssl.SSLContext.load_default_certs = load\n"
        "sys.argv = ['platform', 'side']\n"
        "try:\n"
        "    runpy.run_module('skylarkcleat.platform', run_name='__main__')\n"
        "except (SystemExit, OSError):\n"
        "    pass\n"
    )
    assert set(_run(code).split()) <= {"0"}


def test_the_names_for_callers_are_found():
    for name in skylarkcleat._MODULES:
        assert getattr(skylarkcleat, name).__name__ == name
    with pytest.raises(AttributeError, match="no attribute 'Nothing'"):
        _ = skylarkcleat.Nothing
