#!/usr/bin/env bash
# Builds the stand-ins of the review's cases into target/review. Needs only the packages of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/standin -B target/review -G Ninja -DCMAKE_BUILD_TYPE=Release
cmake --build target/review
