/*
 * Specification of a non-idempotent call, which must run at most once: claim the
 * idempotency key in the log, call the service, record the result.
 *
 * Two entry VMs serve the same call with the same idempotency key, each up to
 * two times, since the caller may retry through either of them. The log orders
 * all records. An append may be lost, its response may be lost after it took
 * effect, or it may take effect late, after the writer has given up. An entry
 * VM may die or be paused at any step.
 *
 * Safety: the service runs at most once. A refusal that says "not run" is true:
 * the refused attempt has not run and never will.
 * No lost key: a refused attempt never holds the key.
 * Liveness (-DRELIABLE): with a working log and no death, some caller gets the
 * answer.
 *
 * Broken variants, each of which the checker must reject:
 *   -DNO_CLAIM      the service is called without waiting for the claim
 *   -DNO_TOMBSTONE  a release does not block a late claim of the same attempt
 *   -DRETRY_SENT    a call whose response was lost is sent again
 */

#define VMS           2
#define MAX_ATTEMPTS  4         /* two for each entry VM */
#define NO_ATTEMPT    9

byte holder = NO_ATTEMPT;       /* the attempt that holds the key */
bool result_recorded = false;   /* the result is in the log */
bool unknown_recorded = false;  /* the log says that the outcome is unknown */
bool released[MAX_ATTEMPTS];    /* the log has a release of the attempt */
bool pending[MAX_ATTEMPTS];     /* the claim of the attempt may still reach the log */
bool refused[MAX_ATTEMPTS];     /* the attempt was refused with "not run" */
byte runs = 0;
bool ran[MAX_ATTEMPTS];
byte answers = 0;
byte failed = 0;

#define key_is_free (holder == NO_ATTEMPT && !result_recorded && !unknown_recorded)
#ifdef NO_TOMBSTONE
#define accepts_claim(attempt) (key_is_free)
#else
#define accepts_claim(attempt) (key_is_free && !released[attempt])
#endif

/* A claim reaches the log. It has no effect while another attempt holds the key,
 * after the call has an outcome, or after its own attempt was released. */
inline apply_claim(attempt) {
  if
  :: accepts_claim(attempt) -> holder = attempt; assert(!refused[attempt])
  :: else
  fi
}

/* Pending claims reach the log late, or never. */
active proctype delayed_claims() {
  byte attempt = 0;
end:
  do
  :: atomic { attempt < MAX_ATTEMPTS && pending[attempt] -> pending[attempt] = false; apply_claim(attempt) }
  :: atomic { attempt < MAX_ATTEMPTS && pending[attempt] -> pending[attempt] = false }
  :: atomic { attempt = (attempt + 1) % MAX_ATTEMPTS }
  od
}

inline call_service(attempt) {
  atomic {
    runs++;
    ran[attempt] = true;
    assert(runs <= 1);
    assert(!refused[attempt])
  }
}

proctype entry_vm(byte id) {
  byte attempt;
  byte tries = 0;
  bool response_lost = false;
  do
  :: tries < 2 ->
    attempt = id * 2 + tries;
    tries++;
    /* check whether the key is already claimed */
    if
    :: atomic { result_recorded -> answers++ }; goto next_try
    :: unknown_recorded -> goto next_try
    :: holder != NO_ATTEMPT && !result_recorded && !unknown_recorded ->
       goto next_try                             /* another attempt is running: outcome unknown */
    :: holder == NO_ATTEMPT && !result_recorded && !unknown_recorded -> skip
    fi;
    /* append the claim: it takes effect now, or stays pending */
    if
    :: atomic { apply_claim(attempt) }
    :: pending[attempt] = true
#ifndef RELIABLE
    :: skip                                      /* the append is lost */
    :: goto died                                 /* the entry VM dies */
#endif
    fi;
#ifdef NO_CLAIM
    call_service(attempt);
    goto next_try;
#endif
    /* wait until the log shows a holder, or give up */
    if
    :: atomic { holder == attempt -> skip }
    :: atomic { holder != attempt && holder != NO_ATTEMPT -> skip }; goto next_try
#ifndef RELIABLE
    :: atomic {
         released[attempt] = true; refused[attempt] = true;  /* the release is retried until it is in the log */
         if
         :: holder == attempt -> holder = NO_ATTEMPT
         :: else
         fi
       };
       goto next_try
#endif
    fi;
    /* this attempt holds the key: call the service once */
    if
    :: call_service(attempt)
#ifndef RELIABLE
    :: atomic {                                   /* no endpoint: certain that no byte was sent */
         released[attempt] = true; refused[attempt] = true; holder = NO_ATTEMPT
       };
       goto next_try
    :: goto died
#endif
    fi;
    response_lost = false;
    if
    :: skip
#ifndef RELIABLE
    :: response_lost = true                      /* the response is lost after the service ran */
    :: goto died
#endif
    fi;
#ifdef RETRY_SENT
    if
    :: response_lost -> call_service(attempt)
    :: else
    fi;
#endif
    if
    :: !response_lost -> atomic { result_recorded = true; answers++ }
    :: response_lost -> unknown_recorded = true
    fi;
next_try:
    skip
  :: else -> break
  od;
died:
  skip
}

init {
  atomic { run entry_vm(0); run entry_vm(1) }
#ifdef RELIABLE
  (_nr_pr == 2);                 /* both entry VMs have finished */
  assert(answers >= 1 && runs == 1)
#endif
}
