/*
 * A call that may not be repeated: claim in the log, run, result.
 *
 * Two entry VMs serve the same call with the same idempotency key, each up to
 * TRIES times, since the caller tries again through either of them. The log
 * appends records in one order; an append may be lost, and its answer may be
 * lost after it took effect; it may also take effect late, after the writer
 * has given up. An entry VM may die at any step, or be paused.
 *
 * Safety: the service runs at most once, and a refusal that says "not run" is
 * true: the attempt that was refused has not run and never will.
 * No lost key: an attempt that was refused never holds the key.
 * Liveness: with a log that works and no death, somebody gets an answer.
 *
 * Broken variants, each of which the checker must reject:
 *   -DNO_CLAIM      the call is run without waiting for the claim
 *   -DNO_TOMBSTONE  a release does not stop a late claim of the same attempt
 *   -DRETRY_SENT    a call whose answer was lost is sent again
 */

#define VMS      2
#define ATTEMPTS 4      /* two for each entry VM */
#define NONE     9

byte holder = NONE;       /* the attempt that holds the key */
bool finished = false;    /* the answer is kept */
bool unknown = false;     /* the outcome is recorded as unknown */
bool released[ATTEMPTS];  /* attempts given back */
bool pending[ATTEMPTS];   /* claims under way that may still take effect */
bool given_up[ATTEMPTS];  /* refused with "not run" */
byte runs = 0;
bool ran[ATTEMPTS];
byte answers = 0;
byte failed = 0;

#define open_key (holder == NONE && !finished && !unknown)
#ifdef NO_TOMBSTONE
#define takes(a) (open_key)
#else
#define takes(a) (open_key && !released[a])
#endif

/* A claim reaches the log: the first one wins while the key is held. */
inline take_effect(a) {
  if
  :: takes(a) -> holder = a; assert(!given_up[a])
  :: else
  fi
}

/* Claims that were under way reach the log late, or never. */
active proctype network() {
  byte a = 0;
end:
  do
  :: atomic { a < ATTEMPTS && pending[a] -> pending[a] = false; take_effect(a) }
  :: atomic { a < ATTEMPTS && pending[a] -> pending[a] = false }
  :: atomic { a = (a + 1) % ATTEMPTS }
  od
}

inline send(a) {
  atomic {
    runs++;
    ran[a] = true;
    assert(runs <= 1);
    assert(!given_up[a])
  }
}

proctype vm(byte id) {
  byte a;
  byte tries = 0;
  bool lost = false;
  do
  :: tries < 2 ->
    a = id * 2 + tries;
    tries++;
    /* follow the claim that holds the key */
    if
    :: atomic { finished -> answers++ }; goto next
    :: unknown -> goto next
    :: holder != NONE && !finished && !unknown -> goto next   /* under way elsewhere: outcome unknown */
    :: holder == NONE && !finished && !unknown -> skip
    fi;
    /* claim: the append takes effect now, or stays under way */
    if
    :: atomic { take_effect(a) }
    :: pending[a] = true
#ifndef RELIABLE
    :: skip                                      /* lost */
    :: goto dead                                 /* dies */
#endif
    fi;
#ifdef NO_CLAIM
    send(a);
    goto next;
#endif
    /* wait until the log shows the holder, or give up */
    if
    :: atomic { holder == a -> skip }
    :: atomic { holder != a && holder != NONE -> skip }; goto next
#ifndef RELIABLE
    :: atomic {
         released[a] = true; given_up[a] = true;  /* the release is offered to the log until it is there */
         if
         :: holder == a -> holder = NONE
         :: else
         fi
       };
       goto next
#endif
    fi;
    /* it holds the claim: send once */
    if
    :: send(a)
#ifndef RELIABLE
    :: atomic {                                   /* no endpoint: certain that no byte has left */
         released[a] = true; given_up[a] = true; holder = NONE
       };
       goto next
    :: goto dead
#endif
    fi;
    lost = false;
    if
    :: skip
#ifndef RELIABLE
    :: lost = true                                /* the answer is lost after the action */
    :: goto dead
#endif
    fi;
#ifdef RETRY_SENT
    if
    :: lost -> send(a)
    :: else
    fi;
#endif
    if
    :: !lost -> atomic { finished = true; answers++ }
    :: lost -> unknown = true
    fi;
next:
    skip
  :: else -> break
  od;
dead:
  skip
}

init {
  atomic { run vm(0); run vm(1) }
#ifdef RELIABLE
  (_nr_pr == 2);                 /* both entry VMs have ended */
  assert(answers >= 1 && runs == 1)
#endif
}
