#!/usr/bin/env bash
# Compile the stand-ins of the scripts, those of the project too; nothing is downloaded.
set -e
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps:. python3 -c "
import turmericproxy.standins.platform_wire_store, review.harness.deployment, review.harness.http
"
python3 -m compileall -q turmericproxy/standins review
