#!/usr/bin/env bash
# Builds what the scripts of the second review start, after the build of the deploy
# file: nothing is compiled, so it checks that the stand-ins and the programs load.
cd "$(dirname "$0")/.." || exit 2
export PYTHONPATH=target/deps:src:review
python3 -m compileall -q review/rig2.py src/acaciarelay_standins || exit 1
python3 -c "import rig2, acaciarelay.programs.relay_entry, acaciarelay.programs.relay_agent"
