#!/bin/sh
# Plays the case against the built programs; TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
export PYTHONDONTWRITEBYTECODE=1
PYTHONPATH=review:target/deps exec python3 review/1/play.py
