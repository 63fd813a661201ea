#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-2/ ./review/standins-2
