#!/usr/bin/env bash
# Runs a complete system on this machine: a fake of the platform's store, three
# nodes, and two backend servers of the service auftrag. The script sets labels,
# makes calls, causes an overload and drains a node, and prints the output of
# each command. All processes are stopped when the script exits.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o bin/ ./mwnode ./mwctl ./mwplatform ./mwbackend
logs=$(mktemp -d)
pids=()
finish() { kill "${pids[@]}" 2>/dev/null || true; wait 2>/dev/null || true; echo "logs: $logs"; }
trap finish EXIT

start() { local name=$1; shift; "$@" >"$logs/$name.log" 2>&1 & pids+=($!); }

# until_ok repeats a command until it succeeds, and fails after 10 s.
until_ok() {
	for _ in $(seq 100); do "$@" >/dev/null 2>&1 && return 0; sleep 0.1; done
	echo "gave up after 10 s: $*"; exit 1
}

start platform bin/mwplatform --listen 127.0.0.1:7900
for n in 1 2 3; do
	start "node$n" bin/mwnode --zone "wien-$n" --region wien \
		--entry "127.0.0.1:7${n}00" --local "127.0.0.1:7${n}01" \
		--peer "127.0.0.1:7${n}02" --admin "127.0.0.1:7${n}03" \
		--store.address 127.0.0.1:7900 --member.join 127.0.0.1:7102
done
start backend1 bin/mwbackend --service auftrag --node 127.0.0.1:7101 --slots 4 --connections 16 --time 20ms
start backend2 bin/mwbackend --service auftrag --node 127.0.0.1:7201 --slots 4 --connections 16 --time 20ms

export MW_STORE_ADDRESS=127.0.0.1:7900 MW_OPERATOR=anna
export MW_NODE=127.0.0.1:7103,127.0.0.1:7203,127.0.0.1:7303
show() { echo; echo "\$ $*"; "$@" || echo "exit code $?"; }

until_ok curl -sf http://127.0.0.1:7303/healthz
show bin/mwctl apply examples/verband.json
in_force() { [ "$(curl -s http://127.0.0.1:7303/mw/status | grep -c '"Version":1,')" = 1 ]; }
two_targets() { [ "$(curl -s 'http://127.0.0.1:7303/mw/targets?Service=auftrag' | grep -o '"Peer"' | wc -l)" = 2 ]; }
until_ok in_force
until_ok two_targets
show bin/mwctl status
show bin/mwctl targets
show bin/mwctl explain --caller shop-17 --service auftrag --method POST --path /orders/1

call() { curl -s -o /dev/null -w '%{http_code} %header{mw-code} %header{mw-outcome}\n' \
	-H 'Mw-Service: auftrag' -H "Mw-Caller: ${CALLER:-shop-1}" "$@"; }
echo; echo "# a call that enters at node 3, which has no backend server"
call http://127.0.0.1:7300/templates
echo "# an order with a key, twice: it runs once"
call -X POST -H 'Mw-Key: order-1' -H 'Mw-First: 1' http://127.0.0.1:7300/orders/1
call -X POST -H 'Mw-Key: order-1' http://127.0.0.1:7300/orders/1

echo; echo "# an overload: 200 calls at the same time, with the number of calls by response"
for _ in $(seq 200); do call -H 'Mw-Timeout: 200ms' http://127.0.0.1:7300/templates & calls+=($!); done | sort | uniq -c
echo; echo "# node 1 drains; its target takes no new work"
show bin/mwctl --node 127.0.0.1:7103 drain
for _ in $(seq 20); do call http://127.0.0.1:7300/templates; done | sort | uniq -c
show bin/mwctl history
