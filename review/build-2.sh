#!/bin/bash
# Builds what the scripts of review/6 to review/10 start besides the program of the deploy file. Their stand-ins are
# Python files of the standard library alone, so there is nothing to compile: they are only checked here.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 8))' || { echo "python3 of 3.8 or later is needed"; exit 1; }
for file in common-2/*.py $(ls [0-9]*/case.py 2>/dev/null); do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
