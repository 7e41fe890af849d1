/*
 * Claims: a request that may not be repeated runs at most once. It specifies
 * the rules of the Go package internal/claim for one idempotency key: votes of
 * a majority of a replica group, ballots, replicas that restart without memory
 * and recover by copying, and a change of the group.
 *
 * A request that was sent may reach a replica at any later step, any number of
 * times, or never; so messages may be late, repeated, lost or crossed. An
 * attempt that stops in some state is a coordinator that died or is paused.
 *
 * Constants, from the environment of the verifier: MUTANT (0 is the correct
 * specification), CRASHES (bound on restarts of replicas), MORTAL (set of the
 * replicas that may restart), ROUNDS (highest round of ballots), CHANGE (1 if
 * the group changes, 2 if also attempt 1 is under the first configuration and
 * attempt 2 under the second), ATTEMPTS, WITNESS (0, or the number of a state
 * that is then reported when it is reached).
 */

#define REPLICAS 4
#define HOLDERS 3  /* attempts, numbered from 1 */

hidden byte mutant, maxCrashes, mortal, maxRound, change, split, attempts, witness;

#define RECOVERS      (mutant != 1) /* a restarted replica copies before it votes */
#define MAJORITY      (mutant != 2) /* more than half of a group must vote */
#define BOTH_GROUPS   (mutant != 3) /* after a change both groups are asked */
#define ENDS          (mutant != 4) /* a released attempt never runs */
#define FENCED        (mutant != 5) /* votes of a replaced process do not count */
#define UNSURE        (mutant != 6) /* two holders in copies: no vote on the key */
#define ALL_SOURCES   (mutant != 7) /* copies come from enough others, not from one */
#define KEEPS_PROMISE (mutant != 8) /* ballots below the promised one are refused */
#define SEES_RIVAL    (mutant != 9) /* no votes are asked for where a rival may have won */
#define SAME_GROUP    (mutant != 10)/* no vote for a request of another configuration */
#define ABLE_SOURCES  (mutant != 11)/* a replica that forgot is no source */
#define NO_OVERWRITE  (mutant != 12)/* in round 0 a vote is not given twice */
#define FENCED_RIVAL  (mutant != 13)/* a promise of a replaced process says nothing of rivals */

/* Always false. A violated assertion is printed with the name in it. */
hidden byte ran_twice, ran_after_refusal, witness_found;

#define GROUP1 7  /* replicas 0, 1, 2 */
#define GROUP2 14 /* replicas 1, 2, 3 */
#define BIT(r) (1 << (r))

typedef Replica {
  bool able;             /* it has lost none of its votes */
  bool announced;        /* its present group knows this process */
  bool latest;           /* it is under the second configuration */
  unsigned life : 2;     /* incarnation of the process */
  unsigned holder : 2;   /* attempt voted for, 0 for none */
  unsigned round : 2;    /* round of that vote */
  unsigned promised : 2; /* round of the lowest ballot not refused */
  unsigned to : 2;       /* and its holder */
  bool unsure;           /* the votes of an earlier process can't be told */
  byte known[REPLICAS];  /* latest incarnation heard of */
  byte source[REPLICAS]; /* incarnation of those that gave a copy, 0 for none */
  unsigned sourceAble : 4 /* those of them that had lost nothing */
};

#define IDLE 0
#define PROMISE 1
#define PREPARE 2
#define ALLOWED 3
#define RAN 4
#define REFUSED 5

typedef Attempt {
  unsigned phase : 3;
  unsigned round : 2;
  bool latest;           /* its coordinator is under the second configuration */
  byte vote[REPLICAS];   /* incarnation of each that voted in this phase, 0 for none */
  byte known[REPLICAS];  /* latest incarnation among what the voters know */
  byte voted[REPLICAS];  /* holder that each promiser had voted for */
  unsigned prepared : 4; /* rounds in which votes were asked for: messages under way */
  unsigned sought : 4    /* rounds in which promises were asked for */
};

Replica replica[REPLICAS];
Attempt attempt[HOLDERS + 1];
unsigned crashes : 2;
bool published; /* the second configuration */
bool settled;   /* the first configuration counts no more */

unsigned runs : 2; /* history: runs of the key */

#define OTHER(r,s) ((s) != (r))
#define NEEDED (ALL_SOURCES -> 2 : 1)

/* Copies count unless the source is known to be replaced. */
#define GAVE(r,s) (OTHER(r,s) && replica[r].source[s] != 0 && replica[r].source[s] >= replica[r].known[s])
#define GAVE_ABLE(r,s) (GAVE(r,s) && ((replica[r].sourceAble & BIT(s)) || !ABLE_SOURCES))
#define SOURCES1(r) (GAVE_ABLE(r,0) + GAVE_ABLE(r,1) + GAVE_ABLE(r,2))
#define SOURCES2(r) (GAVE_ABLE(r,1) + GAVE_ABLE(r,2) + GAVE_ABLE(r,3))
#define TOLD1(r) (GAVE(r,0) + GAVE(r,1) + GAVE(r,2))
#define TOLD2(r) (GAVE(r,1) + GAVE(r,2) + GAVE(r,3))

/* The first group must be covered until it is settled: every attempt until
 * then asks for its majority. */
#define COVERED(r) (settled && replica[r].latest -> SOURCES2(r) >= NEEDED : SOURCES1(r) >= NEEDED)
#define KNOWN(r)   (replica[r].latest -> TOLD2(r) >= NEEDED : TOLD1(r) >= NEEDED)

inline open_if_recovered(r) {
  if
  :: !replica[r].able && COVERED(r) -> replica[r].able = true
  :: else
  fi;
  if
  :: KNOWN(r) -> replica[r].announced = true
  :: else
  fi;
  if
  :: replica[r].able && replica[r].announced -> forget_sources(r)
  :: else
  fi
}

inline forget_sources(r) {
  replica[r].source[0] = 0;
  replica[r].source[1] = 0;
  replica[r].source[2] = 0;
  replica[r].source[3] = 0;
  replica[r].sourceAble = 0
}

#define BALLOT_BELOW(round1, holder1, round2, holder2) \
  ((round1) < (round2) || ((round1) == (round2) && (round1) != 0 && (holder1) < (holder2)))

/* Joins the record of s into that of r, which has forgotten. */
inline merge(r, s) {
  if
  :: BALLOT_BELOW(replica[r].promised, replica[r].to, replica[s].promised, replica[s].to) ->
     replica[r].promised = replica[s].promised;
     replica[r].to = replica[s].to
  :: else
  fi;
  replica[r].unsure = replica[r].unsure || replica[s].unsure;
  if
  :: replica[s].holder == 0
  :: replica[s].holder != 0 && replica[s].holder == replica[r].holder ->
     replica[r].round = (replica[s].round > replica[r].round -> replica[s].round : replica[r].round)
  :: replica[s].holder != 0 && replica[s].holder != replica[r].holder ->
     if
     :: replica[r].holder == 0 || BALLOT_BELOW(replica[r].round, replica[r].holder, replica[s].round, replica[s].holder) ->
        replica[r].holder = replica[s].holder;
        replica[r].round = replica[s].round
     :: replica[r].holder != 0 && replica[r].round == 0 && replica[s].round == 0 ->
        replica[r].unsure = UNSURE
     :: else
     fi
  fi
}

inline raise(left, right) {
  if
  :: (right) > (left) -> left = right
  :: else
  fi
}

/* r asks s, s notes r's incarnation and answers. */
#define CAN_COPY(r,s) (OTHER(r,s) && !(replica[r].able && replica[r].announced) \
  && replica[r].latest == replica[s].latest \
  && (replica[r].source[s] != replica[s].life || (replica[s].able && !(replica[r].sourceAble & BIT(s)))))

inline copy(r, s) {
  raise(replica[s].known[r], replica[r].life);
  raise(replica[r].known[s], replica[s].life);
  raise(replica[r].known[0], replica[s].known[0]);
  raise(replica[r].known[1], replica[s].known[1]);
  raise(replica[r].known[2], replica[s].known[2]);
  raise(replica[r].known[3], replica[s].known[3]);
  if
  :: !replica[r].able -> merge(r, s)
  :: else
  fi;
  replica[r].source[s] = replica[s].life;
  if
  :: replica[s].able -> replica[r].sourceAble = replica[r].sourceAble | BIT(s)
  :: else -> replica[r].sourceAble = replica[r].sourceAble & ~BIT(s)
  fi;
  open_if_recovered(r)
}

#define CAN_CRASH(r) ((mortal & BIT(r)) && crashes < maxCrashes)

inline forget(r) {
  replica[r].able = false;
  replica[r].announced = false;
  replica[r].holder = 0;
  replica[r].round = 0;
  replica[r].promised = 0;
  replica[r].to = 0;
  replica[r].unsure = false;
  replica[r].known[0] = 1;
  replica[r].known[1] = 1;
  replica[r].known[2] = 1;
  replica[r].known[3] = 1;
  forget_sources(r)
}

inline crash(r) {
  forget(r);
  replica[r].life++;
  crashes++;
  if
  :: !RECOVERS ->
     replica[r].able = true;
     replica[r].announced = true
  :: else
  fi
}

/* A replica that lost nothing stays able, but makes itself known again. The
 * first process of a replica replaces none, so there is nothing to make known. */
inline adopt(r) {
  replica[r].latest = true;
  replica[r].announced = (replica[r].life == 1);
  forget_sources(r)
}

#define MAY_VOTE(r,h) (replica[r].able && replica[r].announced && !replica[r].unsure \
  && (replica[r].latest == attempt[h].latest || !SAME_GROUP) \
  && (BIT(r) & ASKED(h)))
#define ASKED(h) (attempt[h].latest -> (settled -> GROUP2 : (GROUP1 | GROUP2)) : GROUP1)
#define REFUSES(r,h,n) (KEEPS_PROMISE && BALLOT_BELOW(n, h, replica[r].promised, replica[r].to))
#define TAKEN(r,h,n) ((n) == 0 && replica[r].holder != 0 && replica[r].holder != (h) && NO_OVERWRITE)

/* Replies count in the phase and round that they were asked for in. */
inline note_vote(r, h) {
  attempt[h].vote[r] = replica[r].life;
  raise(attempt[h].known[0], replica[r].known[0]);
  raise(attempt[h].known[1], replica[r].known[1]);
  raise(attempt[h].known[2], replica[r].known[2]);
  raise(attempt[h].known[3], replica[r].known[3])
}

#define CAN_GRANT(r,h,n) ((attempt[h].prepared & BIT(n)) && MAY_VOTE(r,h) \
  && !REFUSES(r,h,n) && !TAKEN(r,h,n) \
  && (replica[r].holder != (h) || replica[r].round != (n) || WAITS(r,h,n,PREPARE)))
#define WAITS(r,h,n,p) (attempt[h].phase == (p) && attempt[h].round == (n) && attempt[h].vote[r] != replica[r].life)

inline grant(r, h, n) {
  replica[r].holder = h;
  replica[r].round = n;
  replica[r].promised = n;
  replica[r].to = (n == 0 -> 0 : h);
  if
  :: attempt[h].phase == PREPARE && attempt[h].round == n -> note_vote(r, h)
  :: else
  fi
}

#define CAN_PROMISE(r,h,n) ((n) != 0 && (attempt[h].sought & BIT(n)) && MAY_VOTE(r,h) && !REFUSES(r,h,n) \
  && (replica[r].promised != (n) || replica[r].to != (h) || WAITS(r,h,n,PROMISE)))

inline promise(r, h, n) {
  replica[r].promised = n;
  replica[r].to = h;
  if
  :: attempt[h].phase == PROMISE && attempt[h].round == n ->
     attempt[h].voted[r] = replica[r].holder;
     note_vote(r, h)
  :: else
  fi
}

/* The release of an attempt clears its vote and refuses its ballots. */
#define BARS(r,h) BALLOT_BELOW(replica[r].promised, replica[r].to, attempt[h].round + 1, 0)
#define CAN_CLEAR(r,h) (attempt[h].phase == REFUSED && (replica[r].holder == (h) || BARS(r,h)))

inline clear(r, h) {
  if
  :: replica[r].holder == h ->
     replica[r].holder = 0;
     replica[r].round = 0
  :: else
  fi;
  if
  :: BARS(r,h) ->
     replica[r].promised = attempt[h].round + 1;
     replica[r].to = 0
  :: else
  fi
}

proctype Node(byte self) {
end:
  do
  :: d_step { CAN_GRANT(self, 1, 0) -> grant(self, 1, 0) }
  :: d_step { CAN_GRANT(self, 2, 0) -> grant(self, 2, 0) }
  :: d_step { CAN_GRANT(self, 3, 0) -> grant(self, 3, 0) }
  :: d_step { CAN_GRANT(self, 1, 1) -> grant(self, 1, 1) }
  :: d_step { CAN_GRANT(self, 2, 1) -> grant(self, 2, 1) }
  :: d_step { CAN_GRANT(self, 1, 2) -> grant(self, 1, 2) }
  :: d_step { CAN_GRANT(self, 2, 2) -> grant(self, 2, 2) }
  :: d_step { CAN_PROMISE(self, 1, 1) -> promise(self, 1, 1) }
  :: d_step { CAN_PROMISE(self, 2, 1) -> promise(self, 2, 1) }
  :: d_step { CAN_PROMISE(self, 1, 2) -> promise(self, 1, 2) }
  :: d_step { CAN_PROMISE(self, 2, 2) -> promise(self, 2, 2) }
  :: d_step { CAN_CLEAR(self, 1) -> clear(self, 1) }
  :: d_step { CAN_CLEAR(self, 2) -> clear(self, 2) }
  :: d_step { CAN_CLEAR(self, 3) -> clear(self, 3) }
  :: d_step { CAN_COPY(self, 0) -> copy(self, 0) }
  :: d_step { CAN_COPY(self, 1) -> copy(self, 1) }
  :: d_step { CAN_COPY(self, 2) -> copy(self, 2) }
  :: d_step { CAN_COPY(self, 3) -> copy(self, 3) }
  :: d_step { CAN_CRASH(self) -> crash(self) }
  :: d_step { published && !replica[self].latest -> adopt(self) }
  od
}

#define VALID(h,r) (attempt[h].vote[r] != 0 && (attempt[h].vote[r] >= attempt[h].known[r] || !FENCED))
#define VOTES1(h) (VALID(h,0) + VALID(h,1) + VALID(h,2))
#define VOTES2(h) (VALID(h,1) + VALID(h,2) + VALID(h,3))
#define ENOUGH (MAJORITY -> 2 : 1)
#define ASKS1(h) (!attempt[h].latest || (!settled && BOTH_GROUPS))
#define ASKS2(h) (attempt[h].latest)
#define WON(h) ((!ASKS1(h) || VOTES1(h) >= ENOUGH) && (!ASKS2(h) || VOTES2(h) >= ENOUGH))

/* Votes that a rival may have of a group: those told and those not told. */
#define RELIED(h,r) (VALID(h,r) || (!FENCED_RIVAL && attempt[h].vote[r] != 0))
#define MAY_HAVE(h,g,r) ((g) != (h) && (!RELIED(h,r) || attempt[h].voted[r] == (g)))
#define TOLD(h,g,r) ((g) != (h) && attempt[h].vote[r] != 0 && attempt[h].voted[r] == (g))
#define RIVAL1(h,g) (ASKS1(h) && (TOLD(h,g,0) + TOLD(h,g,1) + TOLD(h,g,2) > 0) \
  && MAY_HAVE(h,g,0) + MAY_HAVE(h,g,1) + MAY_HAVE(h,g,2) >= 2)
#define RIVAL2(h,g) (ASKS2(h) && (TOLD(h,g,1) + TOLD(h,g,2) + TOLD(h,g,3) > 0) \
  && MAY_HAVE(h,g,1) + MAY_HAVE(h,g,2) + MAY_HAVE(h,g,3) >= 2)
#define RIVAL(h) (SEES_RIVAL && (RIVAL1(h,1) || RIVAL1(h,2) || RIVAL1(h,3) \
  || RIVAL2(h,1) || RIVAL2(h,2) || RIVAL2(h,3)))

inline forget_votes(h) {
  attempt[h].vote[0] = 0;
  attempt[h].vote[1] = 0;
  attempt[h].vote[2] = 0;
  attempt[h].vote[3] = 0;
  attempt[h].known[0] = 1;
  attempt[h].known[1] = 1;
  attempt[h].known[2] = 1;
  attempt[h].known[3] = 1;
  attempt[h].voted[0] = 0;
  attempt[h].voted[1] = 0;
  attempt[h].voted[2] = 0;
  attempt[h].voted[3] = 0
}

inline prepare(h, n) {
  forget_votes(h);
  attempt[h].phase = PREPARE;
  attempt[h].round = n;
  attempt[h].prepared = attempt[h].prepared | BIT(n)
}

inline seek(h) {
  forget_votes(h);
  attempt[h].phase = PROMISE;
  attempt[h].round = attempt[h].round + 1;
  attempt[h].sought = attempt[h].sought | BIT(attempt[h].round)
}

/* States that a search must reach to be worth something. */
#define WITNESS(h) ( witness == 1 && attempt[h].round > 0 \
  || witness == 2 && settled && replica[3].holder == (h) \
  || witness == 3 && replica[0].life > 1 && replica[0].holder == (h) )

inline execute(h) {
  assert(!WITNESS(h) || witness_found);
  assert(attempt[h].phase != REFUSED || ran_after_refusal);
  assert(runs == 0 || ran_twice);
  runs++;
  forget_votes(h);
  attempt[h].phase = RAN
}

inline refuse(h) {
  forget_votes(h);
  attempt[h].phase = REFUSED
}

#define PHASE attempt[self].phase
#define OPEN (PHASE == PROMISE || PHASE == PREPARE)

proctype Coordinator(byte self) {
end:
  do
  :: d_step { PHASE == IDLE && !(split && self == 2) -> prepare(self, 0) }
  :: d_step { PHASE == IDLE && published && !(split && self == 1) -> attempt[self].latest = true; prepare(self, 0) }
  :: d_step { OPEN && attempt[self].round < maxRound -> seek(self) }
  :: d_step { PHASE == PROMISE && WON(self) && !RIVAL(self) -> prepare(self, attempt[self].round) }
  :: d_step { PHASE == PREPARE && WON(self) -> forget_votes(self); PHASE = ALLOWED }
  :: d_step { PHASE == ALLOWED -> execute(self) }
  :: d_step { OPEN || PHASE == ALLOWED -> refuse(self) }
  :: d_step { !ENDS && PHASE == REFUSED -> execute(self) }
  od
}

/* The first configuration settles once a majority of its group has left it for
 * longer than records are held: what was voted for under it has ended. */
#define LEFT (replica[0].latest + replica[1].latest + replica[2].latest)
#define OVER(h) (attempt[h].latest || attempt[h].phase == IDLE || attempt[h].phase == REFUSED)

proctype Configuration() {
end:
  do
  :: d_step { change && !published -> published = true }
  :: d_step { published && !settled && LEFT >= 2 && OVER(1) && OVER(2) && OVER(3) -> settled = true }
  od
}

inline begin(r) {
  forget(r);
  replica[r].able = true;
  replica[r].announced = true;
  replica[r].life = 1
}

init {
  atomic {
    c_code {
      mutant = atoi(getenv("MUTANT"));
      maxCrashes = atoi(getenv("CRASHES"));
      mortal = atoi(getenv("MORTAL"));
      maxRound = atoi(getenv("ROUNDS"));
      change = atoi(getenv("CHANGE")) > 0;
      split = atoi(getenv("CHANGE")) > 1;
      attempts = atoi(getenv("ATTEMPTS"));
      witness = atoi(getenv("WITNESS"));
    };
    begin(0);
    begin(1);
    begin(2);
    forget(3);
    replica[3].life = 1; /* new: it recovers under the second configuration */
    forget_votes(1);
    forget_votes(2);
    forget_votes(3);
    run Node(0);
    run Node(1);
    run Node(2);
    if
    :: change -> run Node(3)
    :: else
    fi;
    run Coordinator(1);
    run Coordinator(2);
    if
    :: attempts > 2 -> run Coordinator(3)
    :: else
    fi;
    run Configuration()
  }
}
