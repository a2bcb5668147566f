#!/usr/bin/env bash
# Generates the committed C++ code of the messages; the build needs no protoc.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p src/generated
protoc --proto_path=proto --cpp_out=src/generated proto/*.proto
