#!/usr/bin/env bash
# Set up a virtual environment in .venv with everything this project needs.
set -euo pipefail
cd "$(dirname "$0")"
[ -x .venv/bin/python ] || python3 -m venv .venv
.venv/bin/python -m pip install --quiet --constraint constraints.txt \
    setuptools wheel
.venv/bin/python -m pip install --quiet --no-build-isolation \
    --constraint constraints.txt \
    --editable packages/common --editable packages/entry \
    --editable packages/agent --editable packages/standins \
    --editable packages/measure --editable platform \
    pytest pytest-bdd pytest-xdist hypothesis ruff
