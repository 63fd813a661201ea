#!/usr/bin/env bash
# Builds the stand-ins of the scripts. They use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/standins"
mkdir -p ../../target
GOWORK=off GOFLAGS="-buildvcs=false -mod=mod" GOPROXY=off go build -o ../../target/review-standins .
