#!/bin/sh
# Builds the stand-ins of the cases in review/6 and up. The nodes are built with
# the command of deploy/system.toml.
set -eu
cd "$(dirname "$0")/standin-2"
GOWORK=off go build -o ../../target/review-2/standin2 .
