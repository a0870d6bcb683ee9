#!/usr/bin/env bash
# Creates or updates .venv when the pinned packages or the project file changed.
set -euo pipefail
cd "$(dirname "$0")/.."
stamp=.venv/inputs.stamp
if ! cat constraints.txt pyproject.toml | cmp -s - "$stamp"; then
  python3 -m venv .venv
  .venv/bin/pip install --quiet --constraint constraints.txt --editable '.[dev]'
  cat constraints.txt pyproject.toml > "$stamp"
fi
