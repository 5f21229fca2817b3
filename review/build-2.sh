#!/usr/bin/env bash
# Builds what the scripts of review/6 to review/10 start, after the build of the deploy file. The
# stand-ins are Python, and use the libraries in target/deps only.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q turmericproxy review/harness-2 review/6 review/7 review/8 review/9 review/10
PYTHONPATH=target/deps:review/harness-2 python3 -c 'import deployment, crashing'
