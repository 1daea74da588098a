#!/bin/sh
# The stand-ins of the scripts are Python programs of the standard library: there is nothing to compile.
# Checks that they can be read by the interpreter.
set -eu
cd "$(dirname "$0")"
command -v python3 > /dev/null || { echo "python3 is missing" >&2; exit 1; }
for file in standin/*.py */case.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
