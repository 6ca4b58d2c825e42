/*
 * Granting work for one endpoint and the change of its owner.
 *
 * Two members of a failure domain, 0 (which wins the rendezvous hash) and 1.
 * A member may be paused at any moment and reads its clock when it goes on. Of
 * the two directions between them at most one is cut at a time. Times are kept
 * as ages, capped, so that runs of any length are explored.
 *
 * Safety: two members never grant within one grant term of each other, so a
 * new owner starts after every grant of the old one has ended.
 * Liveness (-DCALM): with links whole and nobody paused, somebody may grant
 * within a bounded time of the start and from then on.
 *
 * Broken variants, each of which the checker must reject:
 *   -DNO_LAPSE     the right to grant does not lapse on the owner's own clock
 *   -DNO_WAIT      a new owner does not wait out the old one's grants
 *   -DNO_OBSERVE   a member that was paused trusts its old view
 */

#define TERM    2      /* an acknowledged heartbeat's worth of ownership */
#define DEAD    3      /* silence after which a member counts as dead */
#define GRANT   1      /* a grant must be used within this time */
#define CAP     6      /* ages above every bound are alike */
#define NEVER   CAP

/* Ages, by the member's number. */
byte heard[2];         /* since it last heard the other */
byte acked[2];         /* since its newest acknowledged heartbeat was sent */
byte ticked[2];        /* since its last round */
byte seen[2];          /* since it began to observe without a gap */
byte won[2];           /* since it wins the endpoint */
bool winner[2];
byte granted[2];       /* since it last granted */
bool cut[2];           /* cut[i]: nothing passes from i to the other */
byte calm = 0;         /* steps since the start, capped */

#define other(i) (1 - (i))
#define alive(i) (heard[i] < DEAD)
#define wins(i)  ((i) == 0 || !alive(i))
#ifdef NO_OBSERVE
#define observing(i) (false)
#define paused(i)    (false)
#else
#define observing(i) (seen[i] < DEAD + 1)
#define paused(i)    (ticked[i] >= TERM)
#endif
#ifdef NO_LAPSE
#define acknowledged(i) (true)
#else
#define acknowledged(i) (!alive(i) || acked[i] < TERM)
#endif
#define right(i) (wins(i) && !paused(i) && !observing(i) && acknowledged(i))
#ifdef NO_WAIT
#define waited(i) (winner[i])
#else
#define waited(i) (winner[i] && won[i] >= GRANT + 1)
#endif

#define older(x) x = (x < CAP -> x + 1 : CAP)

inline step() {
  d_step {
    older(heard[0]); older(heard[1]); older(acked[0]); older(acked[1]);
    older(ticked[0]); older(ticked[1]); older(seen[0]); older(seen[1]);
    older(won[0]); older(won[1]); older(granted[0]); older(granted[1]);
  }
}

/* One round of a member: a heartbeat to the other, which hears it and answers
 * where the links allow, then the renewal of the view. */
inline round(i) {
  d_step {
    if
    :: paused(i) -> seen[i] = 0; winner[i] = false
    :: else
    fi;
    ticked[i] = 0;
    if
    :: !cut[i] -> heard[other(i)] = 0
    :: else
    fi;
    if
    :: !cut[0] && !cut[1] -> acked[i] = 0
    :: else
    fi;
    if
    :: right(i) && !winner[i] -> winner[i] = true; won[i] = 0
    :: !right(i) -> winner[i] = false
    :: else
    fi
  }
}

/* A grant by a member. A member that was paused may come here at any time, its
 * round long past. */
inline grant(i) {
  d_step {
    if
    :: right(i) && waited(i) ->
      assert(granted[other(i)] > GRANT);
      granted[i] = 0
    :: else
    fi
  }
}

active proctype domain() {
  d_step {
    heard[0] = NEVER; heard[1] = NEVER; acked[0] = NEVER; acked[1] = NEVER;
    ticked[0] = NEVER; ticked[1] = NEVER; granted[0] = NEVER; granted[1] = NEVER
  }
  do
  :: step();
#ifdef CALM
    round(0); round(1); grant(0); grant(1);
    calm = (calm < 10 -> calm + 1 : calm);
    assert(calm < 10 || granted[0] == 0 || granted[1] == 0)
#else
    /* links: at most one direction is cut */
    if
    :: cut[0] = false; cut[1] = false
    :: cut[0] = true; cut[1] = false
    :: cut[0] = false; cut[1] = true
    fi;
    /* each member: a grant before its round (it was paused in between), a
     * round, a grant after it; or only a grant; or nothing */
    if
    :: grant(0); round(0); grant(0)
    :: grant(0)
    :: skip
    fi;
    if
    :: grant(1); round(1); grant(1)
    :: grant(1)
    :: skip
    fi
#endif
  od
}
