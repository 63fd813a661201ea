#!/usr/bin/env bash
# Measures the latency, throughput at saturation and memory per stream of the gateway,
# compared with direct calls of the same simulated target.
set -euo pipefail
cd "$(dirname "$0")/.."
ulimit -n 65536 2>/dev/null || true
go test ./internal/bench -run TestOverhead -count=1 -timeout 20m -v -args -overhead
