#!/bin/sh
# Builds the stand-ins that the scripts of cases 6 to 10 start.
set -e
cd "$(dirname "$0")/.."
make -j6 BUILD=build build/bin/standin-platform
