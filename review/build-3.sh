#!/bin/sh
# Builds the stand-ins that the scripts of the third review start. Needs no network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
GOWORK=off go build -C review/harness-3 -o ../../target/review-3/stand .
