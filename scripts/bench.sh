#!/usr/bin/env bash
# Measures the routing policies side by side on one fleet of real processes, at
# 50, 80 and 110 in 100 of its capacity, and short prompts without long ones.
# Results as JSON lines in out/bench-FLEET; the last lines judge the targets.
set -u
cd "$(dirname "$0")/.."
FLEET=${FLEET:-tinjau} SEED=${SEED:-1} LENGTH=${LENGTH:-20s} OUT=out/bench-${FLEET:-tinjau}
CAPACITY=${CAPACITY:-88} # requests a second of the mix: prompt tokens that the engines process a second over the mix's mean
rm -rf "$OUT"
. scripts/fleet.sh
trap stop_rest EXIT
start_fleet
wait_ready || exit 1
echo "machine: $(nproc) cores, $(awk '/MemTotal/{print int($2/1048576)}' /proc/meminfo) GB; seed $SEED, $LENGTH each"

# measure NAME RATE LOAD-FILE
measure() {
  bin/standin load --fleet "$FLEET_DIR/fleet.jsonc" --load "$3" --length "$LENGTH" --rate "$2" --seed "$SEED" --out "$OUT/$1.jsonl" >"$OUT/$1.txt" 2>&1
  echo "== $1, $2 requests a second"; cat "$OUT/$1.txt"
  sleep 2
}

sed '/"name": "\(long\|huge\)"/d' "$FLEET_DIR/load.jsonc" >"$OUT/shorter.jsonc"
for policy in predicted leastInFlight roundRobin random; do
  echo "{\"routing\": {\"policy\": \"$policy\"}}" >"$OUT/config.jsonc"
  operate config set "$OUT/config.jsonc" --by bench >/dev/null || exit 1
  for load in 50 80 110; do
    measure "$load-$policy" "$((CAPACITY * load / 100))" "$FLEET_DIR/load.jsonc"
  done
done
echo '{"routing": {"policy": "predicted"}}' >"$OUT/config.jsonc"
operate config set "$OUT/config.jsonc" --by bench >/dev/null
measure 80-shorter "$((CAPACITY * 80 * 979 / 100000))" "$OUT/shorter.jsonc"
echo "engines overloaded while cold: $(grep -l 'overloaded while cold' "$OUT"/*.log | wc -l)"
bin/standin compare --dir "$OUT"
