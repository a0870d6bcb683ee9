#!/usr/bin/env bash
# Formatter, linter, type check, tests and a short run of the demonstration.
set -euo pipefail
cd "$(dirname "$0")/.."
bash scripts/venv.sh
sources="bergamotstream standins demo bench tests"
.venv/bin/ruff format --check $sources
.venv/bin/flake8 $sources
.venv/bin/mypy
.venv/bin/python -m pytest "$@"
.venv/bin/python -m demo --requests 60
