#!/usr/bin/env bash
# Formatter and linters over all modules of the workspace.
set -euo pipefail
cd "$(dirname "$0")/.."
unformatted=$(git ls-files '*.go' | xargs -r gofmt -l)
if [ -n "$unformatted" ]; then
	echo "gofmt would change:" "$unformatted" >&2
	exit 1
fi
go vet work
go tool staticcheck ./... ./client/...
