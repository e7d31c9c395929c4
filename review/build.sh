#!/usr/bin/env bash
# Builds the stand-ins of the cases: one program, with Go's standard library only.
set -euo pipefail
cd "$(dirname "$0")/harness"
GOWORK=off GOTOOLCHAIN=local go build -o ../bin/harness .
