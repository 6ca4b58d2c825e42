#!/usr/bin/env bash
# Starts a fleet, makes a booking twice with one idempotency key, sends the mixed
# load while a failure domain is taken out of service and put back, and stops the
# entry VMs gracefully. Exits 0 only if no request was lost, every entry VM exited
# with status 0, no engine was overloaded while cold and no invariant was violated.
set -u
cd "$(dirname "$0")/.."
FLEET=${FLEET:-tinjau} OUT=${OUT:-out/demo-${FLEET:-tinjau}}
rm -rf "$OUT"
. scripts/fleet.sh
trap stop_rest EXIT

echo "== start the $FLEET fleet"
start_fleet
wait_ready || exit 1
operate config set "$FLEET_DIR/config.jsonc" || exit 1
operate status

echo "== one call that may not be repeated, made twice with the same key"
for try in 1 2; do bin/standin call --load "$FLEET_DIR/load.jsonc" --key demo-1 || exit 1; done

echo "== load for 45 s; meanwhile a failure domain goes out and comes back"
bin/standin load --fleet "$FLEET_DIR/fleet.jsonc" --load "$FLEET_DIR/load.jsonc" --length 45s --out "$OUT/results.jsonl" >"$OUT/table.txt" 2>&1 &
load=$!
domain=$(operate domain list | awk 'NR==2{print $1}')
sleep 12
operate domain out "$domain" --reason "demo" || exit 1
sleep 14
operate domain in "$domain" || exit 1
memory
wait "$load"; lost=$?
cat "$OUT/table.txt"

echo "== stop"
stop_entries; bad=$?
overloads=$(grep -l 'overloaded while cold' "$OUT"/*.log | wc -l)
violations=$(cat "$OUT"/*.log | grep -c '"msg":"violation"')
echo "entry VMs that did not stop in good order: $bad; engines overloaded while cold: $overloads; violated invariants: $violations"
[ "$lost" -eq 0 ] && [ "$bad" -eq 0 ] && [ "$overloads" -eq 0 ] && [ "$violations" -eq 0 ] || { echo "demo: FAILED"; exit 1; }
echo "demo: nothing was lost"
