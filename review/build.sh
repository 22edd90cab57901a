#!/bin/sh
# Builds the stand-ins of the cases, after the build of the deploy file.
#
# They are Python and use the libraries in target/deps, so that they only have
# to compile and to find what they import.
set -eu
cd "$(dirname "$0")/.."
export PYTHONDONTWRITEBYTECODE=1
PYTHONPATH=review:target/deps python3 -c '
import pathlib
from standins import fleet

for path in sorted(pathlib.Path("review").rglob("*.py")):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
print("the stand-ins are ready")
'
