#!/usr/bin/env bash
# Runs the soak test with fault injection: real processes on loopback with signals, lost
# disks, connections that are cut, reset or delayed or that silently drop data, and faulty
# targets.
# Usage: soak.sh [SEEDS [FIRST [PARALLEL [KINDS [COMMIT]]]]]. Without FIRST the first seed is
# random. PARALLEL deployments of six processes run at a time. KINDS names kinds of faults
# or sets of them: hosts (default), signals, stranded, orders, targets, foreign, ends, upgrade. The set ends
# has faults after which a response that has ended early can look complete; its kinds are "ends:
# accepted", "ends: another", "ends: reset", "ends: forwarded", "ends: late", "ends: late reset",
# "ends: stop", "ends: kill", "ends: upload" and "ends: heads". With upgrade, the hosts begin on the build
# of COMMIT (default: the last merge) and are replaced one after the other. A failure prints its
# seed.
set -euo pipefail
cd "$(dirname "$0")/.."
seeds=${1:-10}
first=${2:-$RANDOM$RANDOM}
earlier=()
if [[ ${4:-} == *upgrade* ]]; then
	commit=$(git rev-parse --verify "${5:-$(git rev-list --merges --first-parent -1 HEAD)}^{commit}")
	build=$(mktemp -d)
	trap 'git worktree remove --force "$build/tree"; rm -rf "$build"' EXIT
	git worktree add --quiet --detach "$build/tree" "$commit"
	(cd "$build/tree" && go build -o "$build/" ./cmd/...)
	earlier=(-soak.earlier "$build/geraniumturn")
	echo "earlier build: $commit"
fi
echo "seeds $first to $((first + seeds - 1))"
go test ./platform -run 'TestSoak' -count=1 -parallel "${3:-4}" -timeout 60m -soak.seeds "$seeds" -soak.first "$first" -soak.kinds "${4:-hosts}" "${earlier[@]}"
