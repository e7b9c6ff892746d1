#!/usr/bin/env bash
# Checks the whole workspace: format, vet, staticcheck, build, and all tests
# with the race detector, those of crowds apart. Tests named in KNOWN-RED.txt are
# skipped, and the file is printed. The script prints one line per step and exits
# with 0 if all pass.
set -euo pipefail
cd "$(dirname "$0")"

modules() { sed -n 's#^\t*\(use \)*\./##p' go.work; }

# known_red prints the names of the tests in KNOWN-RED.txt, joined with | for -skip.
known_red() {
	[ -f KNOWN-RED.txt ] || return 0
	sed -n 's/^Test: *//p' KNOWN-RED.txt | paste -sd'|' -
}

# crowds matches the tests that start processes with little memory under many
# connections. They run one at a time, after all others.
crowds='^TestCrowd'

step() { printf '== %s\n' "$*"; }

step gofmt
bad=$(git ls-files '*.go' | xargs gofmt -l)
[ -z "$bad" ] || { echo "not formatted:"; echo "$bad"; exit 1; }

packages=()
for m in $(modules); do packages+=("./$m/..."); done

step vet
go vet "${packages[@]}"
step staticcheck
go tool staticcheck "${packages[@]}"
step build
go build "${packages[@]}"

red=$(known_red)
if [ -n "$red" ]; then
	step "known red, left out"
	cat KNOWN-RED.txt
fi
step test
go test -race -timeout 8m -skip "$crowds${red:+|$red}" "${packages[@]}"
step crowds
go test -race -timeout 8m -p 1 -parallel 1 -run "$crowds" ${red:+-skip "$red"} ./mwnode
step ok
