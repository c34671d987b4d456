#!/bin/sh
# Builds the stand-ins of the scripts under review/6 to review/8 into target/review-2, which git ignores. The program itself
# is built as deploy/system.toml says.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -o target/review-2/ ./standinlog
go build -tags review -o target/review-2/ ./review/stand-2
