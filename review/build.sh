#!/bin/sh
# Builds the program that plays the scripted cases, with all stand-ins that they start, into review/build/.
set -eu
cd "$(dirname "$0")/.."
cmake -S review -B review/build -DCMAKE_BUILD_TYPE=Release >review/build-configure.log 2>&1 || { cat review/build-configure.log; exit 1; }
rm -f review/build-configure.log
cmake --build review/build -j8 --target review-case
