/*
 * Specification of the shares of a limit within one failure domain: an entry VM
 * uses its share if fewer members than the limit come before it in the order that
 * the key gives, by its own view of the membership.
 *
 * There are three entry VMs in that order and a limit of 1. Each may die and start
 * again at any step, and any two may be cut off from each other for a while. A
 * running entry VM hears another one unless the two are cut, and drops one that it
 * has not heard for long. Times are abstracted: an entry VM is settled after its
 * greeting has had the time to pass both ways between it and every other that it is
 * not cut off from; a cut ends before the retention of a dropped member does.
 *
 * Safety: at no time do more entry VMs than the limit use their share.
 *
 * Broken variants, each of which the checker must reject:
 *   -DNO_SETTLE     a process uses its share as soon as it has started
 *   -DNO_RETENTION  a member that was not heard for a while counts no longer
 */

#define VMS    3
#define LIMIT  1

bool running[VMS];
bool settled[VMS];
bool knows[9];          /* knows[i * VMS + j]: i counts j as a member */
bool cut[9];            /* cut[i * VMS + j]: messages between i and j are lost */

#define known(i, j)   knows[(i) * VMS + (j)]
#define is_cut(i, j)  cut[(i) * VMS + (j)]

/* before(i): how many members come before i in its own view. */
#define counts(i, j)  (((j) < (i) && known(i, j)) -> 1 : 0)
#define before(i)     (counts(i, 0) + counts(i, 1) + counts(i, 2))
#define uses(i)       ((running[i] && settled[i] && before(i) < LIMIT) -> 1 : 0)

/* met(i, j): the greeting between i and j has passed both ways, or can't matter. */
#define met(i, j)     ((i) == (j) || !running[j] || (known(i, j) && known(j, i)))

/* An entry VM that is cut off from one that runs can't become settled: the
 * assumption that PROOFS.md lists as not covered. */
#define met_all(i)    (met(i, 0) && met(i, 1) && met(i, 2))

inline start(i) {
  running[i] = true; settled[i] = false;
  known(i, 0) = false; known(i, 1) = false; known(i, 2) = false
}

inline settle(i) {
#ifdef NO_SETTLE
  settled[i] = true
#else
  if
  :: met_all(i) -> settled[i] = true
  :: else
  fi
#endif
}

/* hear(i, j): i receives a message of j. */
inline hear(i, j) {
  if
  :: i != j && running[i] && running[j] && !is_cut(i, j) -> known(i, j) = true
  :: else
  fi
}

/* drop(i, j): i drops j, which it has not heard for long. With the retention this
 * happens only after j has ended, as a cut between two that run is shorter. */
inline drop(i, j) {
  if
#ifdef NO_RETENTION
  :: i != j && (!running[j] || is_cut(i, j)) -> known(i, j) = false
#else
  :: i != j && !running[j] -> known(i, j) = false
#endif
  :: else
  fi
}

active proctype fleet() {
  byte i, j;
end:
  do
  :: atomic {
       select(i : 0 .. 2); select(j : 0 .. 2);
       if
       :: !running[i] -> start(i)
       :: running[i] -> running[i] = false; settled[i] = false
       :: running[i] -> settle(i)
       :: hear(i, j)
       :: running[i] -> drop(i, j)
       :: i != j && !is_cut(i, j) -> is_cut(i, j) = true; is_cut(j, i) = true
       :: i != j && is_cut(i, j) -> is_cut(i, j) = false; is_cut(j, i) = false
       fi;
       i = 0; j = 0;
       assert(uses(0) + uses(1) + uses(2) <= LIMIT)
     }
  od
}
