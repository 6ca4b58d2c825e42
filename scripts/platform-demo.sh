#!/usr/bin/env bash
# Starts entry VMs on a stand-in for the users' platform, sends five kinds of
# request and stops everything. Exits 0 only if every request was served and
# every entry VM exited with status 0.
set -u
cd "$(dirname "$0")/.."
OUT=${OUT:-out/platform-demo} ENTRIES=${ENTRIES:-6}
rm -rf "$OUT"; mkdir -p "$OUT"
bin/standin users-platform --dir "$OUT" --entries "$ENTRIES" >"$OUT/table.txt" 2>&1 &
load=$!
trap 'kill "$load" "${entries[@]}" 2>/dev/null' EXIT
entries=()
for ((i = 0; i < ENTRIES; i++)); do
  until [ -s "$OUT/entry-$i.json" ]; do sleep 0.05; kill -0 "$load" 2>/dev/null || { cat "$OUT/table.txt"; exit 1; }; done
  MULBERRYLEVER_NODE_FILE="$OUT/entry-$i.json" bin/mulberrylever front >"$OUT/entry-$i.log" 2>"$OUT/entry-$i.err" &
  entries+=($!)
done
wait "$load"; lost=$?
cat "$OUT/table.txt"
kill -TERM "${entries[@]}"
bad=0
for pid in "${entries[@]}"; do wait "$pid" || bad=$((bad + 1)); done
echo "entry VMs that did not stop in good order: $bad"
bin/mulberrylever explain short-7 "$OUT"/entry-*.log
[ "$lost" -eq 0 ] && [ "$bad" -eq 0 ] || { echo "demo: FAILED"; exit 1; }
echo "demo: everything was served"
