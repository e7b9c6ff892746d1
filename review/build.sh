#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start: the project's own
# stand-in of the store, and the program that plays the rest.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -o target/review/ ./mwplatform
cd review/standin
GOWORK=off go build -o ../../target/review/standin .
