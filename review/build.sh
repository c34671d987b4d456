#!/usr/bin/env bash
# Builds what the scripts of the cases start, besides the program that the build line of deploy/system.toml makes.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -o target/review/ ./review/testdata/drill ./standinlog
