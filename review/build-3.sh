#!/bin/sh
# Checks that the stand-ins of the third review's cases can be started. They are
# in Python, as the project's own that they use, so nothing is built.
cd "$(dirname "$0")/.." || exit 1
exec python3 -B -c '
import pathlib
for folder in ("platform/testing", "review/lib_3", "review/11", "review/12",
               "review/13", "review/14", "review/15"):
  for path in pathlib.Path(folder).glob("*.py"):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
'
