#!/bin/bash
# Builds the stand-ins of the third review's scripts, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p build
go build -o build/review-3 review/drive-3/*.go
