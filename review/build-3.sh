#!/bin/sh
# Build what the cases 11 to 15 need. The stand-ins are Python sources of the project and
# run on the libraries that the build line of the deploy file places under target/.
set -e
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps:src python3 -c "
import acaciarelay_standins.inbound_standin, acaciarelay_standins.platform_runner
import acaciarelay_standins.platform_store, acaciarelay_standins.ports"
