#!/bin/sh
# Plays the case "restart"; see claim.txt. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/mwnode ] && [ -x target/review-2/standin2 ] || { echo "build first" >&2; exit 2; }
exec target/review-2/standin2 restart "$PWD" "$PWD/review/9"
