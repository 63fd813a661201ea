#!/usr/bin/env bash
# Runs random schedules of the fleet and membership state machines. A failure prints
# its seed. Usage: scripts/simulate.sh [schedules] [first seed]
set -euo pipefail
cd "$(dirname "$0")/.."
schedules=${1:-10000}
seed=${2:-1}
for package in ./internal/fleet ./internal/membership; do
	go test -count=1 -timeout 60m -parallel 4 -run '^TestSchedules$' "$package" -args -schedules="$schedules" -seed="$seed"
done
