#!/usr/bin/env bash
# Runs the soak test with fault injection: real processes on loopback with signals, lost
# disks, and connections that are cut, reset or delayed or that silently drop data.
# Usage: soak.sh [SEEDS [FIRST]]. Without FIRST the first seed is random. A failure
# prints its seed.
set -euo pipefail
cd "$(dirname "$0")/.."
seeds=${1:-10}
first=${2:-$RANDOM$RANDOM}
echo "seeds $first to $((first + seeds - 1))"
go test ./platform -run 'TestSoak' -count=1 -parallel 4 -timeout 60m -soak.seeds "$seeds" -soak.first "$first"
