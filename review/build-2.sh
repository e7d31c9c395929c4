#!/bin/sh
# Builds the stand-ins of the second review's scripts. It needs no network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
cd review/harness-2
GOWORK=off GOTOOLCHAIN=local GOFLAGS=-mod=mod GOPROXY=off go build -o ../../target/review/scene .
