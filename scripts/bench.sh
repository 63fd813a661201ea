#!/usr/bin/env bash
# Runs benchmark scenarios on real processes and writes a report with plots to OUT.
# Usage: scripts/bench.sh OUT [SCENARIOS] [POLICIES] [SEED]
set -euo pipefail
cd "$(dirname "$0")/.."
out=$(realpath -m "${1:?usage: scripts/bench.sh OUT [SCENARIOS] [POLICIES] [SEED]}")
go test ./internal/bench -run TestScenarios -count=1 -timeout 120m -v \
	-args -scenarios "${2:-all}" -policies "${3:-default}" -seed "${4:-1}" -out "$out"
