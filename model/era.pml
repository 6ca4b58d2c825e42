/* A store that comes back from older copies, and an entry VM that follows a topic of it.
 *
 * The operator writes configurations with rising versions, each of which the store acknowledges. Up to
 * RETURNS times the store comes back from any older copy: records are lost, offsets are given out again,
 * and the era rises. The operator then writes its newest configuration again. The entry VM reads on from
 * its position, and lists the topic when that is of another era or beyond the end.
 *
 * Checked: the version in force never falls, and an answer without a new record, after all has been
 * written, finds the newest version in force.
 *
 * NO_ERA: positions and records are compared by offset alone.
 * NO_VERSION: in a later era a record counts whatever its version is.
 */
#define VERSIONS 3
#define RETURNS 2
#define MAX 8

byte records[MAX]; /* versions by offset */
byte end = 0;
byte era = 1;
byte written = 0;  /* newest version that was acknowledged */
byte returns = 0;
bool isLost = false; /* the operator has to write its newest version again */

byte inForce = 0;
byte readEra = 0;
byte readOffset = 0;
byte knownOffset = 0; /* after that of the newest known record */

active proctype store() {
  byte copy;
  do
  :: atomic { returns < RETURNS && !isLost && end > 0 ->
      copy = 0;
      do
      :: copy < end -> copy++
      :: break
      od;
      end = copy;
      returns++;
      era++;
      isLost = true
    }
  :: returns == RETURNS -> break
  od
}

active proctype operator() {
  do
  :: atomic { !isLost && written < VERSIONS && end < MAX -> written++; records[end] = written; end++ }
  :: atomic { isLost && end < MAX -> records[end] = written; end++; isLost = false }
  :: !isLost && written == VERSIONS && returns == RETURNS -> break
  od
}

inline apply(version, at, isOtherEra) {
  if
#ifdef NO_ERA
  :: at + 1 <= knownOffset -> skip
  :: at + 1 > knownOffset && version > inForce -> inForce = version
#else
#ifdef NO_VERSION
  :: isOtherEra -> assert(version >= inForce); inForce = version
  :: !isOtherEra && version > inForce -> inForce = version
#else
  :: version > inForce -> inForce = version
#endif
#endif
  :: else -> skip
  fi;
  if
  :: at + 1 > knownOffset -> knownOffset = at + 1
  :: else -> skip
  fi
}

inline list() {
  if
  :: end > 0 -> apply(records[end - 1], end - 1, true)
  :: else -> skip
  fi;
  readEra = era;
#ifdef NO_ERA
  if
  :: end > readOffset -> readOffset = end
  :: else -> skip
  fi
#else
  readOffset = end
#endif
}

active proctype reader() {
  byte steps = 0;
  do
  :: steps < 12 -> steps++;
    atomic {
      if
#ifndef NO_ERA
      :: readEra != era -> list()
#endif
      :: readOffset > end -> list()
#ifdef NO_ERA
      :: readOffset < end ->
#else
      :: readEra == era && readOffset < end ->
#endif
        apply(records[readOffset], readOffset, false);
        readOffset++
#ifdef NO_ERA
      :: readOffset == end ->
#else
      :: readEra == era && readOffset == end ->
#endif
        assert(isLost || written < VERSIONS || returns < RETURNS || inForce == VERSIONS)
      fi
    }
  :: break
  od
}
