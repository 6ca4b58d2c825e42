#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15.
set -eu
cd "$(dirname "$0")/.."
go build -o bin/ ./cmd/standin
go build -tags review -o bin/review-3 ./review/11/standin
