# Functions that start and stop a fleet of real processes on the loopback
# interface. The other scripts source this file. It expects FLEET and OUT, and
# writes the process ids to OUT/pids.

FLEET_DIR=examples/$FLEET
FIRST_SETTINGS=$(ls "$FLEET_DIR"/settings/*.jsonc | head -1)
RUN_MULBERRY=${RUN_MULBERRY:-bin/mulberrylever}

# start NAME COMMAND...: starts a process in the background, with its output in
# OUT/NAME.log.
start() {
  local name=$1; shift
  "$@" >"$OUT/$name.log" 2>&1 &
  echo "$! $name" >>"$OUT/pids"
}

# endpoint_ids KIND: prints the ids of the fleet's endpoints of a kind.
endpoint_ids() {
  grep "\"kind\": \"$1\"" "$FLEET_DIR/fleet.jsonc" | sed 's/.*"id": "\([^"]*\)".*/\1/'
}

start_entry() { start "$1" "$RUN_MULBERRY" serve --settings "$FLEET_DIR/settings/$1.jsonc"; }

start_fleet() {
  mkdir -p "$OUT"; : >"$OUT/pids"
  start platform bin/standin platform --fleet "$FLEET_DIR/fleet.jsonc"
  local id
  for id in $(endpoint_ids engine); do start "$id" bin/standin engine --fleet "$FLEET_DIR/fleet.jsonc" --id "$id"; done
  for id in $(endpoint_ids service); do start "$id" bin/standin service --fleet "$FLEET_DIR/fleet.jsonc" --id "$id"; done
  for id in "$FLEET_DIR"/settings/*.jsonc; do start_entry "$(basename "$id" .jsonc)"; done
}

operate() { "$RUN_MULBERRY" "$@" --settings "$FIRST_SETTINGS"; }

# wait_ready: waits for up to 30 s until every entry VM is listed and ready.
wait_ready() {
  local want; want=$(ls "$FLEET_DIR"/settings/*.jsonc | wc -l)
  for _ in $(seq 150); do
    if [ "$(operate status 2>/dev/null | awk '$3=="yes"' | wc -l)" -eq "$want" ]; then return 0; fi
    sleep 0.2
  done
  echo "the fleet did not become ready"; operate status; return 1
}

# stop_entries: sends SIGTERM to every entry VM and returns the number of those
# that exited with a status other than 0.
stop_entries() {
  local bad=0 pid name
  while read -r pid name; do
    case $name in *-entry-*) kill -TERM "$pid" 2>/dev/null ;; esac
  done <"$OUT/pids"
  while read -r pid name; do
    case $name in
      *-entry-*) wait "$pid" || { echo "$name ended with status $?"; bad=$((bad + 1)); } ;;
    esac
  done <"$OUT/pids"
  return "$bad"
}

# stop_rest: terminates the fleet's remaining processes.
stop_rest() {
  local pid name
  while read -r pid name; do kill -TERM "$pid" 2>/dev/null; done <"$OUT/pids"
  wait
}

# memory: prints the number of the fleet's processes and their resident memory.
memory() {
  local pid name total=0 n=0 entries=0 e=0 kb
  while read -r pid name; do
    kb=$(awk '/^VmRSS/{print $2}' "/proc/$pid/status" 2>/dev/null) || continue
    total=$((total + ${kb:-0})); n=$((n + 1))
    case $name in *-entry-*) entries=$((entries + ${kb:-0})); e=$((e + 1)) ;; esac
  done <"$OUT/pids"
  echo "$n processes, $((total / 1024)) MB; of these $e entry VMs, $((entries / 1024)) MB"
}
