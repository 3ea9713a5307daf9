#!/usr/bin/env bash
# Regenerates the committed gRPC modules from proto/peer.proto.
set -euo pipefail
cd "$(dirname "$0")/.."
.venv/bin/python -m grpc_tools.protoc -Iproto --python_out=src/mangorock \
  --grpc_python_out=src/mangorock proto/peer.proto
sed -i 's/^import peer_pb2 as/from mangorock import peer_pb2 as/' \
  src/mangorock/peer_pb2_grpc.py
