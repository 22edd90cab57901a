#!/bin/sh
# Builds the stand-ins of the cases 11 to 15: checks that they compile and that
# the libraries they need are there, which the build of the deploy file installs.
set -eu
cd "$(dirname "$0")/.."
export PYTHONPATH=target/deps:.
python3 -B - <<'PYTHON'
import pathlib

for path in sorted(pathlib.Path("review").glob("**/*.py")):
    if path.parts[1] in ("standins3", "11", "12", "13", "14", "15"):
        compile(path.read_text(), str(path), "exec")

from review.standins3 import fleet  # noqa
PYTHON
