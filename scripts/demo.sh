#!/usr/bin/env bash
# Sets up the environment and runs the demonstration by separate processes.
set -euo pipefail
cd "$(dirname "$0")/.."
bash scripts/venv.sh
exec .venv/bin/python -m demo "$@"
