#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases 6 to 10 start, into target/review-2/.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for main in review/*/stand/main.go; do
  case=$(basename "$(dirname "$(dirname "$main")")")
  case "$case" in 6|7|8|9|10) go build -tags review -o "target/review-2/case-$case" "./review/$case/stand" ;; esac
done
