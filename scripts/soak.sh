#!/usr/bin/env bash
# Runs the fault soak: real processes on loopback under signals, lost disks and
# connections that are cut, reset, silenced or delayed. Usage: soak.sh [SEEDS [FIRST]]
# Without FIRST the seeds are fresh. A failure prints its seed.
set -euo pipefail
cd "$(dirname "$0")/.."
seeds=${1:-10}
first=${2:-$RANDOM$RANDOM}
echo "seeds $first to $((first + seeds - 1))"
go test ./platform -run 'TestSoak' -count=1 -parallel 4 -timeout 60m -soak.seeds "$seeds" -soak.first "$first"
