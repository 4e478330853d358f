#!/usr/bin/env bash
# Builds what the cases of the second review start, into target/review-2. Comes after the build of the deploy
# file, whose libraries it uses, and needs no package beyond those of that file.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/standin-2 -B target/review-2 -G Ninja
cmake --build target/review-2
