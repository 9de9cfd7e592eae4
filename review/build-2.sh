#!/usr/bin/env bash
# Builds the stand-ins that the scripts of this review start, the project's own
# among them. All are Python: this checks that each one compiles. The program
# itself is built by the deploy file's command.
set -euo pipefail
cd "$(dirname "$0")/.."

python3 - review/lib_2/*.py review/{6,7,8,9,10}/*.py \
  platform/testing/standin.py platform/testing/soak.py <<'PY'
import glob
import sys

for pattern in sys.argv[1:]:
  for path in glob.glob(pattern):
    with open(path, encoding='utf-8') as file:
      compile(file.read(), path, 'exec')
PY
