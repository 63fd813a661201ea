#!/usr/bin/env bash
# Checks formatting, and runs the linters on all modules of the workspace.
set -euo pipefail
cd "$(dirname "$0")/.."
unformatted=$(git ls-files '*.go' | xargs -r gofmt -l)
if [ -n "$unformatted" ]; then
	echo "not formatted with gofmt:" "$unformatted" >&2
	exit 1
fi
go vet work
go tool staticcheck ./... ./client/...
