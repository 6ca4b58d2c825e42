#!/usr/bin/env bash
# Benchmarks the routing policies on one fleet of real processes. The runs are:
#   - each policy at 50%, 80% and 110% of the fleet's capacity
#   - the 80% load without its long and huge prompts
#   - short prompts only, at 5 requests per second
#   - 50% load while a failure domain is taken out of service and put back
#   - twice the capacity, most of it from a few large teams
# Writes the results as JSON lines to out/bench-FLEET, with table.txt and
# plot.svg. The last lines printed compare them with the targets.
set -u
cd "$(dirname "$0")/.."
FLEET=${FLEET:-tinjau} SEED=${SEED:-1} LENGTH=${LENGTH:-20s} OUT=${OUT:-out/bench-${FLEET:-tinjau}}
# Capacity in requests per second: the prompt tokens that the engines process
# per second, divided by the mean prompt tokens of a request in the mix.
case $FLEET in tinjau) rate=88 ;; *) rate=117 ;; esac
CAPACITY=${CAPACITY:-$rate}
POLICIES=${POLICIES:-predicted leastInFlight roundRobin random plain-leastInFlight plain-roundRobin plain-random}
rm -rf "$OUT"
. scripts/fleet.sh
trap stop_rest EXIT
start_fleet
wait_ready || exit 1
echo "machine: $(nproc) cores, $(awk '/MemTotal/{print int($2/1048576)}' /proc/meminfo) GB; seed $SEED, $LENGTH each"

# use POLICY: sets the routing policy. A plain-* policy does not separate prompts
# by length and serves them in the order of their arrival.
use() {
  local by=true
  case $1 in plain-*) by=false ;; esac
  echo "{\"routing\": {\"policy\": \"${1#plain-}\", \"byLength\": $by}}" >"$OUT/config.jsonc"
  operate config set "$OUT/config.jsonc" --by bench >/dev/null || exit 1
}

# measure NAME RATE LOAD-FILE LENGTH: sends a load at RATE requests per second and
# writes NAME.jsonl and NAME.txt.
measure() {
  bin/standin load --fleet "$FLEET_DIR/fleet.jsonc" --load "$3" --length "$4" --rate "$2" --seed "$SEED" --out "$OUT/$1.jsonl" >"$OUT/$1.txt" 2>&1
  echo "== $1, $2 requests a second"; cat "$OUT/$1.txt"
  sleep 2
}

sed '/"name": "\(long\|huge\)"/d' "$FLEET_DIR/load.jsonc" >"$OUT/shorter.jsonc"
sed '/"name": "\(medium\|long\|huge\)"/d' "$FLEET_DIR/load.jsonc" >"$OUT/short.jsonc"
for policy in $POLICIES; do
  use "$policy"
  for load in 50 80 110; do
    measure "$load-$policy" "$((CAPACITY * load / 100))" "$FLEET_DIR/load.jsonc" "$LENGTH"
  done
done
use predicted
measure 80-shorter "$((CAPACITY * 80 * 979 / 100000))" "$OUT/shorter.jsonc" "$LENGTH"
measure floor 5 "$OUT/short.jsonc" "$LENGTH"
domain=$(operate domain list | awk 'NR==2{print $1}')
(sleep 15; operate domain out "$domain" --reason bench --by bench >/dev/null; sleep 15; operate domain in "$domain" --by bench >/dev/null) &
away=$!
measure away "$((CAPACITY / 2))" "$FLEET_DIR/load.jsonc" 45s
wait "$away"
measure flood "$((CAPACITY * 2))" "$FLEET_DIR/load.jsonc" "$LENGTH"
echo "engines overloaded while cold: $(grep -l 'overloaded while cold' "$OUT"/*.log | wc -l)"
bin/standin compare --dir "$OUT" --out-at 15s --back-at 30s
