#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start. Needs no network once the module's
# packages are there; the stand-ins use the standard library alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -tags review -o target/review/ ./review/stand
