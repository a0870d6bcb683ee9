#!/usr/bin/env bash
# Creates .venv with the pinned packages if it is missing or out of date.
set -euo pipefail
cd "$(dirname "$0")/.."
stamp=.venv/constraints.stamp
if ! cmp -s constraints.txt "$stamp"; then
  python3 -m venv .venv
  .venv/bin/pip install --quiet --constraint constraints.txt --editable '.[dev]'
  cp constraints.txt "$stamp"
fi
