#!/usr/bin/env bash
# Regenerates the committed protobuf and drpc code. Requires protoc (Debian package
# protobuf-compiler) and the plugins protoc-gen-go and protoc-gen-go-drpc. A build
# requires none of them.
set -euo pipefail
cd "$(dirname "$0")/.."
find internal -name '*.proto' -print0 | while IFS= read -r -d '' file; do
	protoc --go_out=. --go_opt=paths=source_relative \
		--go-drpc_out=. --go-drpc_opt=paths=source_relative "$file"
done
