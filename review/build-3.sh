#!/bin/sh
# Prepares the stand-ins of review/11 to review/15. They are Python programs of the standard library
# (3.11 or later, for tomllib) in review/stand_ins_3; there is nothing to compile, and none of the
# project's own stand-ins is started. This checks that they can be read.
cd "$(dirname "$0")" || exit 2
exec python3 -B - stand_ins_3/*.py 1[1-5]/case.py <<'EOF'
import sys
assert sys.version_info >= (3, 11), "Python 3.11 or later is needed"
for path in sys.argv[1:]:
    with open(path) as file:
        compile(file.read(), path, "exec")
EOF
