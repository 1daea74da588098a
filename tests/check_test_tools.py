#!/usr/bin/env python3
"""Checks the tools that run the tests: what scripts/run-tests counts, as a table of fake test programs, and
that e2e.py rejects unknown scenarios. Reports in the format of cmocka."""

import os
import subprocess
import sys
import tempfile

ROOT = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..")
OK_LINE = "echo '[       OK ] a'"
FAILED_LINE = "echo '[  FAILED  ] b'"

# name, script of the program, expected last line, whether the run passes
CASES = [
    ("passes", OK_LINE, "1 passed, 0 failed", True),
    ("one test fails", "%s; %s; exit 1" % (OK_LINE, FAILED_LINE), "1 passed, 1 failed", False),
    ("fails without a report", "exit 3", "0 passed, 1 failed", False),
    ("crashes without a report", "kill -SEGV $$", "0 passed, 1 failed", False),
    ("crashes after a failed test", "%s; %s; kill -SEGV $$" % (OK_LINE, FAILED_LINE),
     "1 passed, 2 failed", False),
    ("runs no test", "true", "0 passed, 0 failed", False),
]


def run_program(script):
    """Returns the last line and the exit code of scripts/run-tests for one fake program."""
    with tempfile.TemporaryDirectory() as folder:
        program = os.path.join(folder, "fake")
        with open(program, "w") as file:
            file.write("#!/bin/bash\n%s\n" % script)
        os.chmod(program, 0o755)
        result = subprocess.run([os.path.join(ROOT, "scripts", "run-tests"), program], cwd=ROOT,
                                capture_output=True, text=True, check=False)
        return result.stdout.strip().splitlines()[-1], result.returncode


def rejects_unknown_scenario():
    result = subprocess.run([sys.executable, os.path.join(ROOT, "tests", "e2e.py"), "no_such_scenario"],
                            capture_output=True, text=True, check=False, timeout=30)
    return result.returncode == 2 and "no_such_scenario" in result.stderr


def main():
    failed = 0
    for name, script, expected, passes in CASES:
        line, code = run_program(script)
        holds = line == expected and (code == 0) == passes
        failed += 0 if holds else 1
        print("[%s] run-tests: %s%s" % ("       OK " if holds else "  FAILED  ", name,
                                        "" if holds else ": %s, exit %d" % (line, code)))
    holds = rejects_unknown_scenario()
    failed += 0 if holds else 1
    print("[%s] e2e.py: unknown scenario" % ("       OK " if holds else "  FAILED  "))
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
