#!/bin/sh
# Builds the stand-ins of cases 6 to 10, which the project's own platformtest is part of.
# The instances are built by the command of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
go build -tags review -o target/review-2/ ./review/stand2
