#!/usr/bin/env bash
# Measures the control-plane overhead of an idle host as a function of the number of
# hosts, workspaces and targets, for docs/CAPACITY.md. Takes about five minutes.
set -euo pipefail
cd "$(dirname "$0")/.."
go test ./internal/bench -run TestCapacity -count=1 -timeout 30m -v -args -capacity
