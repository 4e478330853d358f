#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/standin-3 -B build-review-3
cmake --build build-review-3 -j 4
