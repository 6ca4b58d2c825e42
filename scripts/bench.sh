#!/usr/bin/env bash
# Measures the routing policies side by side on one fleet of real processes, at
# 50, 80 and 110 in 100 of its capacity, short prompts without long ones, short
# ones alone, a failure domain that goes out and comes back, and twice the
# capacity, most of it from a few large teams. Results as JSON
# lines in out/bench-FLEET with table.txt and plot.svg; the last lines judge the
# targets.
set -u
cd "$(dirname "$0")/.."
FLEET=${FLEET:-tinjau} SEED=${SEED:-1} LENGTH=${LENGTH:-20s} OUT=${OUT:-out/bench-${FLEET:-tinjau}}
# Requests a second of the mix: prompt tokens that the engines process a second
# over the mix's mean.
case $FLEET in tinjau) rate=88 ;; *) rate=117 ;; esac
CAPACITY=${CAPACITY:-$rate}
POLICIES=${POLICIES:-predicted leastInFlight roundRobin random plain-leastInFlight plain-roundRobin plain-random}
rm -rf "$OUT"
. scripts/fleet.sh
trap stop_rest EXIT
start_fleet
wait_ready || exit 1
echo "machine: $(nproc) cores, $(awk '/MemTotal/{print int($2/1048576)}' /proc/meminfo) GB; seed $SEED, $LENGTH each"

# use POLICY: a plain one takes prompts in the order of their arrival.
use() {
  local by=true
  case $1 in plain-*) by=false ;; esac
  echo "{\"routing\": {\"policy\": \"${1#plain-}\", \"byLength\": $by}}" >"$OUT/config.jsonc"
  operate config set "$OUT/config.jsonc" --by bench >/dev/null || exit 1
}

# measure NAME RATE LOAD-FILE LENGTH
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
