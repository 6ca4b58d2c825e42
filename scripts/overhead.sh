#!/usr/bin/env bash
# Measures the latency that an entry VM adds to a request. Sends the same small
# prompts to the engines directly and through an entry VM, alternately, on an
# otherwise idle fleet.
set -u
cd "$(dirname "$0")/.."
FLEET=${FLEET:-tinjau} SEED=${SEED:-1} OUT=out/overhead-${FLEET:-tinjau}
rm -rf "$OUT"
. scripts/fleet.sh
trap stop_rest EXIT
start_fleet
wait_ready || exit 1
sleep 2
entry=$(sed -n 's/.*"address": "\([^"]*\)", "ready".*/\1/p' "$FLEET_DIR/load.jsonc" | head -1)
ready=$(sed -n 's/.*"ready": "\([^"]*\)".*/\1/p' "$FLEET_DIR/load.jsonc" | head -1)
# Direct requests are spread over all engines, as an entry VM spreads them.
engines=$(grep '"kind": "engine"' "$FLEET_DIR/fleet.jsonc" | sed -n 's/.*"address": "\([^"]*\)".*/{"address": "\1", "ready": "\1"},/p')
rest=$(sed -n '/"model"/p;/"teams"/,/\],/p' "$FLEET_DIR/load.jsonc")
prompts='"prompts": [{"name": "tiny", "weight": 1, "minTokens": 100, "maxTokens": 100, "answer": 1, "timeoutMs": 5000}], "services": [], "rate": 20'
echo "{\"targets\": [$engines], $rest $prompts}" >"$OUT/direct.jsonc"
echo "{\"targets\": [{\"address\": \"$entry\", \"ready\": \"$ready\"}], $rest $prompts}" >"$OUT/node.jsonc"
for turn in 1 2; do
  for way in direct node; do
    echo "== $way, turn $turn"
    bin/standin load --fleet "$FLEET_DIR/fleet.jsonc" --load "$OUT/$way.jsonc" --length "${LENGTH:-20s}" --seed "$turn" --out "$OUT/$way-$turn.jsonl"
  done
done
