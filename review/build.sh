#!/bin/sh
# Builds the stand-ins of the cases.  They are Python files that need no library; this checks that they compile.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python - <<'CHECK'
from pathlib import Path

for path in sorted(Path("review").rglob("*.py")):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
CHECK
