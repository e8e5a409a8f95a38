#!/bin/sh
# Builds the stand-ins of the scripts of the review. Run it after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
go build -buildvcs=false -tags review -o target/review-case ./review/stand
