#!/usr/bin/env bash
# Builds the stand-ins that the review's scripts start: the store (package standin/store), the backends and the
# clients are in one program. The sidecar itself is built by the command of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -o review/bin/harness review/harness/*.go
