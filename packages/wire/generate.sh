#!/usr/bin/env bash
# Generates the protobuf messages again; needs protoc (protobuf-compiler).
set -euo pipefail
cd "$(dirname "$0")"
protoc --proto_path=proto --cpp_out=src/generated proto/*.proto
