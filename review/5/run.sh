#!/usr/bin/env bash
# Case 5. Exit code 1: the rule was broken; 0: it held; 2: the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/mwnode ] && [ -x target/review/standin ] || { echo "build first"; exit 2; }
exec target/review/standin left-again review/5
