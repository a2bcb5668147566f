#!/usr/bin/env bash
# Generates src/generated from proto/*.proto. Run it after a change of a
# .proto file and commit what it writes; the build itself needs no protoc.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p src/generated
protoc --proto_path=proto --cpp_out=src/generated proto/*.proto
