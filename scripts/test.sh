#!/usr/bin/env bash
# Runs all tests of the workspace with the race detector. Tests that KNOWN-RED.txt
# lists fail from a known fault: they are passed over and printed.
set -euo pipefail
cd "$(dirname "$0")/.."
known=$(sed -n 's/^test: \(Test[A-Za-z0-9_]*\).*/\1/p' KNOWN-RED.txt | paste -sd'|' -)
skip=()
if [ -n "$known" ]; then
	echo "known red, passed over: ${known//|/ }"
	skip=(-skip "^($known)\$")
fi
go test -race -count=1 -timeout 20m "${skip[@]}" work
