#!/usr/bin/env bash
# Builds the stand-ins of the cases. They are Python, like the project's own, so that
# nothing is compiled: this checks that all of them load with the libraries of the
# deploy file's build.
set -euo pipefail
cd "$(dirname "$0")"
[ -d ../target/deps ] || { echo "run the build of deploy/system.toml first"; exit 1; }
export PYTHONPATH=common PYTHONDONTWRITEBYTECODE=1
python3 -c "import engine, fragile, rig"
