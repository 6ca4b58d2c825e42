#!/usr/bin/env bash
# Builds the program of an earlier commit, for soak runs beside the one of this tree.
set -euo pipefail
cd "$(dirname "$0")/.."
commit=$1
tree=$(mktemp -d)
trap 'rm -rf "$tree"' EXIT
git archive "$commit" | tar -x -C "$tree"
out=$PWD/bin/soak/old/
(cd "$tree" && go build -tags soak -o "$out" ./cmd/mulberrylever)
