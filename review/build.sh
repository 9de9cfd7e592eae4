#!/usr/bin/env bash
# Builds the stand-ins that the scripts of this review start. All of them are
# Python: this checks that each one compiles. The program itself is built by the
# deploy file's command.
set -euo pipefail
cd "$(dirname "$0")/.."

python3 - review/lib/*.py review/[0-9]*/*.py platform/testing/standin.py \
  platform/testing/proxy.py <<'PY'
import sys

for path in sys.argv[1:]:
  with open(path, encoding='utf-8') as file:
    compile(file.read(), path, 'exec')
PY
