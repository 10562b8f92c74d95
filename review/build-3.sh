#!/usr/bin/env bash
# Builds the stand-ins of the scripts of the third review. The entry itself comes from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
go build -tags review3 -o target/review-3/harness ./review/harness-3
