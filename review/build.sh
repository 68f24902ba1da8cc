#!/usr/bin/env bash
# Builds the stand-ins of the cases. The product itself is built as deploy/system.toml says.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -tags review -o target/review/ ./review/harness
