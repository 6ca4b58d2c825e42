#!/usr/bin/env bash
# Checks the specifications with spin: each must hold, and each broken variant
# must be rejected. Prints the number of states that were searched.
set -eu
ulimit -v 3000000 # KiB; keeps the search from exhausting the machine's memory
cd "$(dirname "$0")"
work=$(mktemp -d); trap 'rm -rf "$work"' EXIT
failed=0

# check WANT FILE OPTIONS...: searches all states of FILE, built with OPTIONS for
# spin. WANT is holds or rejected.
check() {
  local want=$1 file=$2; shift 2
  ( cd "$work" && rm -f pan* *.trail out && cp "$OLDPWD/$file" . && spin "$@" -a "$file" >/dev/null &&
    gcc -O2 -w -DSAFETY -DMEMLIM=1500 -DCOLLAPSE -o pan pan.c && timeout 60 ./pan -m100000 >out 2>&1 ) || true
  local got=holds states
  grep -q 'errors: 0' "$work/out" || got=rejected
  grep -qE 'out of memory|memory limit' "$work/out" && got=unfinished
  grep -q 'State-vector' "$work/out" || got=unfinished
  grep -q 'max search depth too small' "$work/out" && got="unfinished"
  states=$(awk '/states, stored/{print $1; exit}' "$work/out")
  printf '%-11s %-34s %-9s %s states\n' "$file" "$*" "$got" "$states"
  [ "$got" = "$want" ] || { echo "  WANTED: $want"; failed=1; }
}

check holds grant.pml
check holds grant.pml -DCALM
check rejected grant.pml -DNO_LAPSE
check rejected grant.pml -DNO_WAIT
check rejected grant.pml -DNO_OBSERVE
check holds claim.pml
check holds claim.pml -DRELIABLE
check rejected claim.pml -DNO_CLAIM
check rejected claim.pml -DNO_TOMBSTONE
check rejected claim.pml -DRETRY_SENT
check holds share.pml
check rejected share.pml -DNO_SETTLE
check rejected share.pml -DNO_RETENTION
check holds era.pml
check rejected era.pml -DNO_ERA
check rejected era.pml -DNO_VERSION
[ "$failed" -eq 0 ] && echo "model: 16 passed, 0 failed" || { echo "model: FAILED"; exit 1; }
