#!/usr/bin/env bash
# Regenerates the committed protobuf code from proto/*.proto. Needs protoc of
# the same version as libprotobuf-dev.
set -euo pipefail
cd "$(dirname "$0")"
protoc --proto_path=proto --cpp_out=src/generated proto/*.proto
