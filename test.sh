#!/usr/bin/env bash
# Builds and runs every test.
set -euo pipefail
cd "$(dirname "$0")"
cmake --preset release
cmake --build --preset release
.ci/ctest release
