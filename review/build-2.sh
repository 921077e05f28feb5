#!/usr/bin/env bash
# Builds everything that the scripts of review/6 and review/8 start: the daemon, with the
# build of deploy/system.toml, and the rig with the stand-ins.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/ ./cmd/...
go build -o target/review-2/ ./review/rig-2
