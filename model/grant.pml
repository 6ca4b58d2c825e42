/*
 * Specification of ownership: which member of a failure domain may issue grants
 * for one endpoint, and how ownership changes.
 *
 * There are two members: 0, which the rendezvous hash prefers, and 1. A member
 * may be paused at any moment and reads its clock when it resumes. At most one
 * of the two directions between them is cut at a time. Times are kept as capped
 * ages, so that the state space is finite and runs of any length are explored.
 *
 * Safety: two members never issue grants within one grant term of each other.
 * So a new owner starts after every grant of the old one has expired.
 * Liveness (-DCALM): with no link cut and no member paused, some member can
 * issue grants within a bounded time of the start and from then on.
 *
 * Broken variants, each of which the checker must reject:
 *   -DNO_LAPSE     ownership does not expire on the owner's own clock
 *   -DNO_WAIT      a new owner does not wait until the old one's grants expire
 *   -DNO_OBSERVE   a member that was paused trusts its stale view of liveness
 */

#define OWNERSHIP_TERM  2    /* ownership that an acknowledged heartbeat gives */
#define DEAD_AFTER      3    /* time without a heartbeat after which a member counts as dead */
#define GRANT_TERM      1    /* time within which a grant must be used */
#define AGE_CAP         6    /* upper limit of ages, above every bound that they are compared with */
#define NEVER           AGE_CAP

/* State by member. Ages are in time steps. */
byte heard_age[2];     /* since it last received a heartbeat */
byte acked_age[2];     /* since it sent its last acknowledged heartbeat */
byte round_age[2];     /* since its last heartbeat round */
byte observe_age[2];   /* since it began to observe the other without a pause */
byte owned_age[2];     /* since it became the owner */
bool is_owner[2];      /* became the owner and has not lost ownership since */
byte grant_age[2];     /* since it last issued a grant */
bool link_cut[2];      /* link_cut[i]: messages from i to the other are lost */
byte calm_steps = 0;   /* time steps since the start, capped at 10; used with -DCALM */

#define other(i) (1 - (i))
#define alive(i) (heard_age[i] < DEAD_AFTER)
#define ranks_first(i) ((i) == 0 || !alive(i))
#ifdef NO_OBSERVE
#define observing(i) (false)
#define paused(i)    (false)
#else
#define observing(i) (observe_age[i] < DEAD_AFTER + 1)
#define paused(i)    (round_age[i] >= OWNERSHIP_TERM)
#endif
#ifdef NO_LAPSE
#define has_valid_ack(i) (true)
#else
#define has_valid_ack(i) (!alive(i) || acked_age[i] < OWNERSHIP_TERM)
#endif
#define may_own(i) (ranks_first(i) && !paused(i) && !observing(i) && has_valid_ack(i))
#ifdef NO_WAIT
#define old_grants_expired(i) (is_owner[i])
#else
#define old_grants_expired(i) (is_owner[i] && owned_age[i] >= GRANT_TERM + 1)
#endif

#define increment_age(x) x = (x < AGE_CAP -> x + 1 : AGE_CAP)

inline advance_time() {
  d_step {
    increment_age(heard_age[0]); increment_age(heard_age[1]);
    increment_age(acked_age[0]); increment_age(acked_age[1]);
    increment_age(round_age[0]); increment_age(round_age[1]);
    increment_age(observe_age[0]); increment_age(observe_age[1]);
    increment_age(owned_age[0]); increment_age(owned_age[1]);
    increment_age(grant_age[0]); increment_age(grant_age[1]);
  }
}

/* One round of a member: it sends a heartbeat, which the other receives and
 * acknowledges unless the link is cut, and then updates its ownership. */
inline heartbeat_round(i) {
  d_step {
    if
    :: paused(i) -> observe_age[i] = 0; is_owner[i] = false
    :: else
    fi;
    round_age[i] = 0;
    if
    :: !link_cut[i] -> heard_age[other(i)] = 0
    :: else
    fi;
    if
    :: !link_cut[0] && !link_cut[1] -> acked_age[i] = 0
    :: else
    fi;
    if
    :: may_own(i) && !is_owner[i] -> is_owner[i] = true; owned_age[i] = 0
    :: !may_own(i) -> is_owner[i] = false
    :: else
    fi
  }
}

/* A member issues a grant if it may. This can happen at any time, also in a
 * member that was paused and whose last round is long ago. */
inline issue_grant(i) {
  d_step {
    if
    :: may_own(i) && old_grants_expired(i) ->
      assert(grant_age[other(i)] > GRANT_TERM);
      grant_age[i] = 0
    :: else
    fi
  }
}

active proctype failure_domain() {
  d_step {
    heard_age[0] = NEVER; heard_age[1] = NEVER; acked_age[0] = NEVER; acked_age[1] = NEVER;
    round_age[0] = NEVER; round_age[1] = NEVER; grant_age[0] = NEVER; grant_age[1] = NEVER
  }
  do
  :: advance_time();
#ifdef CALM
    heartbeat_round(0); heartbeat_round(1); issue_grant(0); issue_grant(1);
    calm_steps = (calm_steps < 10 -> calm_steps + 1 : calm_steps);
    assert(calm_steps < 10 || grant_age[0] == 0 || grant_age[1] == 0)
#else
    /* links: cut at most one direction */
    if
    :: link_cut[0] = false; link_cut[1] = false
    :: link_cut[0] = true; link_cut[1] = false
    :: link_cut[0] = false; link_cut[1] = true
    fi;
    /* each member: a grant, a round and another grant (it was paused before
     * the round); or only a grant; or nothing */
    if
    :: issue_grant(0); heartbeat_round(0); issue_grant(0)
    :: issue_grant(0)
    :: skip
    fi;
    if
    :: issue_grant(1); heartbeat_round(1); issue_grant(1)
    :: issue_grant(1)
    :: skip
    fi
#endif
  od
}
