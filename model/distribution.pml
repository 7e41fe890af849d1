/*
 * Distribution of configuration versions: staging, acceptance, activation,
 * repair and catch-up after a restart without memory. It specifies the rules
 * of the Go package internal/distribution.
 *
 * A version is a small number; 0 is "none". A node's own variables are also
 * its messages: another node may read them at any later step, so a message may
 * be late, repeated, lost or overtaken by another. Only steps that change
 * something are enabled, so every run is finite, and the state in which no
 * step is enabled is the one that repeated gossip ends in.
 *
 * Constants, from the environment of the verifier: MUTANT (0 is the correct
 * specification), QUORUM (K, holders for acceptance), START (version in force
 * everywhere at the start, 0 for a cold start), NEWEST (last version that the
 * source publishes), CRASHES and CUTS (bounds on faults), MORTAL (set of the
 * nodes that may die), ENDING (0: faults go on; 1: they end; 2: they end and the
 * state in which no step is enabled is checked), WITNESS (0, or the number of a
 * state that is then reported when it is reached).
 */

#define N 3 /* nodes */

hidden byte mutant, quorum, newest, maxCrashes, mortal, maxCuts, ending, witness;

#define MONOTONE      (mutant != 1) /* an older version than the one held is ignored */
#define WHOLE         (mutant != 2) /* only a version held whole is activated */
#define ACCEPTED_ONLY (mutant != 3) /* only an accepted version is activated */
#define CATCH_UP      (mutant != 4) /* a started node asks its peers before it is ready */
#define K_HOLDERS     (mutant != 5) /* one holder does not accept */
#define REPAIR        (mutant != 6) /* whoever is behind pulls from a peer */
#define FEWER_LIVE    (mutant != 7) /* all reachable live nodes accept when fewer than K */
#define SAME_VERSION  (mutant != 8) /* the secret must be of the version of its services */
#define ALL_ANSWER    (mutant != 9) /* every reachable live peer is asked, not just one */
#define MANY_ACCEPT   (mutant != 10) /* every holder can accept, not just node 0 */

/* Always false. A violated assertion is printed with the name in it. */
hidden byte staged_in_part, moved_back, activated_in_part, not_accepted,
  too_few_holders, ready_behind, accepted_lost, not_converged, witness_found;

typedef Node {
  bool up;              /* the process runs */
  bool ready;           /* it takes traffic */
  unsigned service : 2; /* newest version whose services have arrived */
  unsigned secret : 2;  /* newest version whose secrets have arrived */
  unsigned staged : 2;  /* newest version held whole */
  unsigned accepted : 2;/* newest version known to be accepted */
  unsigned inForce : 2; /* version in force */
  unsigned reports : 3; /* nodes known to hold the staged version or a newer one */
  unsigned heard : 3;   /* peers that have answered since the start */
  unsigned needed : 2   /* newest version in force among their answers */
};

Node node[N];
unsigned published : 2; /* newest version at the source */
bool cut;               /* node 0 and the others cannot reach each other */
bool sourceUp = true;   /* the source can be read after the faults */
bool faultsOver;
unsigned crashes : 3;
unsigned cuts : 2;

/* History variables: they are checked and never read by the protocol. */
typedef Owed { byte by[N] }; /* by[j]: version in force at j when the node started */
Owed owed[N];
unsigned acceptedByQuorum : 2; /* newest version that K distinct nodes reported */
unsigned acceptedByFewer : 2;  /* newest version accepted by all reachable live nodes, fewer than K */

#define BIT(j)         (1 << (j))
#define COUNT(set)     (((set) & 1) + (((set) >> 1) & 1) + (((set) >> 2) & 1))
#define CONNECTED(i,j) (!cut || (i) == (j) || ((i) != 0 && (j) != 0))
#define REACHABLE(i,j) (node[j].up && CONNECTED(i,j))
#define COVERS(i,set,j) (!REACHABLE(i,j) || ((set) & BIT(j)))
#define COVERS_ALL(i,set) (COVERS(i,set,0) && COVERS(i,set,1) && COVERS(i,set,2))
#define NEXT ((self + 1) % N)
#define LAST ((self + 2) % N)

/* A source may be stale or down while faults last, and crossed pushes may
 * still arrive: any published version may come, in any order, any number of
 * times. Afterwards the source, if it can be read, gives its newest. */
#define ARRIVES(v) ((v) <= published && (!faultsOver || (sourceUp && (v) == published)))
#define WANTED(v, held) ((v) > (held) || (!MONOTONE && (v) != (held)))

#define ENOUGH(i) ( COUNT(node[i].reports) >= quorum \
  || !K_HOLDERS \
  || (FEWER_LIVE && COVERS_ALL(i, node[i].reports)) )

#define STAGE_PENDING(i) ( \
     node[i].service != 0 \
  && WANTED(node[i].service, node[i].staged) \
  && (node[i].service == node[i].secret || (!SAME_VERSION && node[i].secret != 0)) )

/* A node counts reports only while its staged version awaits acceptance. */
inline count_afresh(i) {
  if
  :: node[i].staged > node[i].accepted -> node[i].reports = BIT(i)
  :: else -> node[i].reports = 0
  fi
}

inline stage_if_whole(i) {
  if
  :: STAGE_PENDING(i) ->
     assert(node[i].service == node[i].secret || staged_in_part);
     node[i].staged = node[i].service;
     count_afresh(i)
  :: else
  fi
}

/* The services of a version arrive, then perhaps never its secrets. */
inline receive_services(i, v) {
  node[i].service = v;
  stage_if_whole(i)
}

inline receive_secrets(i, v) {
  node[i].secret = v;
  stage_if_whole(i)
}

/* Repair: j's newest version is pulled whole. */
inline repair(i, j) {
  node[i].staged = node[j].staged;
  count_afresh(i)
}

/* Accepted(v) from j. */
inline learn(i, j) {
  node[i].accepted = node[j].accepted;
  if
  :: node[i].accepted >= node[i].staged -> node[i].reports = 0
  :: else
  fi
}

inline answer(i, j) {
  node[i].heard = node[i].heard | BIT(j);
  if
  :: node[j].inForce > node[i].needed -> node[i].needed = node[j].inForce
  :: else
  fi
}

#define HOLDS(k,i) (node[k].staged >= node[i].staged)
#define FEWER(i)   (FEWER_LIVE && COVERS_ALL(i, node[i].reports))

inline accept(i) {
  if
  :: COUNT(node[i].reports) >= quorum || !FEWER(i) ->
     /* K distinct nodes hold the version or a newer one, but for those that
      * have died since they reported it. */
     assert(HOLDS(0,i) + HOLDS(1,i) + HOLDS(2,i) + crashes >= quorum || too_few_holders);
     if
     :: node[i].staged > acceptedByQuorum -> acceptedByQuorum = node[i].staged
     :: else
     fi
  :: else ->
     assert(!(witness == 2 && cut) || witness_found);
     if
     :: node[i].staged > acceptedByFewer -> acceptedByFewer = node[i].staged
     :: else
     fi
  fi;
  node[i].accepted = node[i].staged;
  node[i].reports = 0
}

#define CANDIDATE(i) (WHOLE -> node[i].staged : node[i].service)
#define CANDIDATE_SECRET(i) (WHOLE -> node[i].staged : node[i].secret)
#define ACTIVATABLE(i) ( CANDIDATE(i) != 0 \
  && WANTED(CANDIDATE(i), node[i].inForce) \
  && (CANDIDATE(i) <= node[i].accepted || !ACCEPTED_ONLY) )

inline activate(i) {
  assert(!(witness == 3 && node[i].inForce == 1 && CANDIDATE(i) == 3) || witness_found);
  /* No life of a process moves back. */
  assert(CANDIDATE(i) > node[i].inForce || moved_back);
  /* Activation is whole: services and secrets of one version. */
  assert(CANDIDATE(i) == CANDIDATE_SECRET(i) || activated_in_part);
  /* In force implies accepted, for this version or a newer one. */
  assert(CANDIDATE(i) <= acceptedByQuorum || CANDIDATE(i) <= acceptedByFewer || not_accepted);
  node[i].inForce = CANDIDATE(i)
}

#define ASKED(i) ( !CATCH_UP \
  || (ALL_ANSWER && COVERS_ALL(i, node[i].heard | BIT(i))) \
  || (!ALL_ANSWER && node[i].heard != 0) )
#define CAN_BE_READY(i) (!node[i].ready && node[i].inForce != 0 \
  && ASKED(i) && (!CATCH_UP || node[i].inForce >= node[i].needed))
#define NOT_BEHIND(i,j) (!REACHABLE(i,j) || node[i].inForce >= owed[i].by[j])

inline become_ready(i) {
  assert(!(witness == 1 && crashes == 2 && owed[i].by[2] == 2) || witness_found);
  /* A node that becomes ready is not behind any version that was in force at
   * its start on a peer that has lived since and is reachable now. */
  assert(NOT_BEHIND(i,0) && NOT_BEHIND(i,1) && NOT_BEHIND(i,2) || ready_behind);
  node[i].ready = true;
  node[i].heard = 0;
  node[i].needed = 0;
  owed[i].by[0] = 0;
  owed[i].by[1] = 0;
  owed[i].by[2] = 0
}

#define CAN_REPAIR(i,j) (REPAIR && REACHABLE(i,j) && node[j].staged > node[i].staged)
#define CAN_REPORT(i,j) (REACHABLE(i,j) && node[i].staged > node[i].accepted \
  && node[j].staged >= node[i].staged && !(node[i].reports & BIT(j)))
#define CAN_LEARN(i,j)  (REACHABLE(i,j) && node[j].accepted > node[i].accepted)
#define CAN_ANSWER(i,j) (REACHABLE(i,j) && !node[i].ready && !(node[i].heard & BIT(j)))
#define LIVE node[self].up

proctype Process(byte self) {
end:
  do
  :: d_step { LIVE && ARRIVES(1) && WANTED(1, node[self].service) -> receive_services(self, 1) }
  :: d_step { LIVE && ARRIVES(2) && WANTED(2, node[self].service) -> receive_services(self, 2) }
  :: d_step { LIVE && ARRIVES(3) && WANTED(3, node[self].service) -> receive_services(self, 3) }
  :: d_step { LIVE && ARRIVES(1) && WANTED(1, node[self].secret) -> receive_secrets(self, 1) }
  :: d_step { LIVE && ARRIVES(2) && WANTED(2, node[self].secret) -> receive_secrets(self, 2) }
  :: d_step { LIVE && ARRIVES(3) && WANTED(3, node[self].secret) -> receive_secrets(self, 3) }
  :: d_step { LIVE && CAN_REPAIR(self, NEXT) -> repair(self, NEXT) }
  :: d_step { LIVE && CAN_REPAIR(self, LAST) -> repair(self, LAST) }
  :: d_step { LIVE && CAN_REPORT(self, NEXT) -> node[self].reports = node[self].reports | BIT(NEXT) }
  :: d_step { LIVE && CAN_REPORT(self, LAST) -> node[self].reports = node[self].reports | BIT(LAST) }
  :: d_step { LIVE && CAN_LEARN(self, NEXT) -> learn(self, NEXT) }
  :: d_step { LIVE && CAN_LEARN(self, LAST) -> learn(self, LAST) }
  :: d_step { LIVE && CAN_ANSWER(self, NEXT) -> answer(self, NEXT) }
  :: d_step { LIVE && CAN_ANSWER(self, LAST) -> answer(self, LAST) }
  :: d_step { LIVE && (MANY_ACCEPT || self == 0) && node[self].staged > node[self].accepted && ENOUGH(self) -> accept(self) }
  :: d_step { LIVE && ACTIVATABLE(self) -> activate(self) }
  :: d_step { LIVE && CAN_BE_READY(self) -> become_ready(self) }
  od
}

/* A node that is starting asks again when a peer dies. */
inline forget_answers(i, j) {
  owed[i].by[j] = 0;
  node[i].heard = 0;
  node[i].needed = 0
}

/* The process i dies and forgets everything. */
inline crash(i) {
  node[i].up = false;
  node[i].ready = false;
  node[i].service = 0;
  node[i].secret = 0;
  node[i].staged = 0;
  node[i].accepted = 0;
  node[i].inForce = 0;
  node[i].reports = 0;
  node[i].heard = 0;
  node[i].needed = 0;
  owed[i].by[0] = 0;
  owed[i].by[1] = 0;
  owed[i].by[2] = 0;
  forget_answers((i + 1) % N, i);
  forget_answers((i + 2) % N, i);
  crashes++;
  /* A version that K nodes reported is held by a live node, or by one that
   * holds a newer one, until K processes have died. */
  assert(crashes >= quorum
    || node[0].staged >= acceptedByQuorum
    || node[1].staged >= acceptedByQuorum
    || node[2].staged >= acceptedByQuorum
    || accepted_lost)
}

inline start(i) {
  node[i].up = true;
  owed[i].by[(i + 1) % N] = node[(i + 1) % N].inForce;
  owed[i].by[(i + 2) % N] = node[(i + 2) % N].inForce
}

#define FAULTY (!faultsOver)
#define CAN_CRASH(i) (FAULTY && node[i].up && crashes < maxCrashes && (mortal & BIT(i)))

proctype Faults() {
end:
  do
  :: d_step { FAULTY && published < newest -> published++ }
  :: d_step { CAN_CRASH(0) -> crash(0) }
  :: d_step { CAN_CRASH(1) -> crash(1) }
  :: d_step { CAN_CRASH(2) -> crash(2) }
  :: d_step { FAULTY && !node[0].up -> start(0) }
  :: d_step { FAULTY && !node[1].up -> start(1) }
  :: d_step { FAULTY && !node[2].up -> start(2) }
  :: d_step { FAULTY && !cut && cuts < maxCuts -> cut = true; cuts++ }
  :: d_step { FAULTY && cut -> cut = false }
  :: d_step { FAULTY && ending && !cut -> faultsOver = true }
  :: d_step { FAULTY && ending && !cut -> faultsOver = true; sourceUp = false }
  od
}

#define LEVEL(i) ( !node[i].up \
  || node[i].inForce == node[i].staged \
     && (node[i].ready || (!sourceUp && node[i].inForce == 0)) \
     && (!sourceUp || node[i].inForce == published) \
     && (crashes >= quorum || node[i].inForce >= acceptedByQuorum) )
#define SAME(i,j) (!node[i].up || !node[j].up || node[i].inForce == node[j].inForce)
#define CONVERGED (faultsOver && LEVEL(0) && LEVEL(1) && LEVEL(2) \
  && SAME(0,1) && SAME(1,2) && SAME(0,2))

/* Liveness: after the faults all live nodes have the same version in force and
 * are ready: the source's newest if the source can be read, and never less
 * than a version accepted by K of which fewer than K holders died. */
ltl converges { <>[] CONVERGED }

/* The same where the verifier looks for states only: no step is enabled. */
proctype Monitor() {
end:
  timeout && ending == 2;
  assert(CONVERGED || not_converged)
}

inline begin(i, v) {
  node[i].up = true;
  node[i].ready = (v != 0);
  node[i].service = v;
  node[i].secret = v;
  node[i].staged = v;
  node[i].accepted = v;
  node[i].inForce = v
}

init {
  atomic {
    c_code {
      mutant = atoi(getenv("MUTANT"));
      quorum = atoi(getenv("QUORUM"));
      newest = atoi(getenv("NEWEST"));
      maxCrashes = atoi(getenv("CRASHES"));
      mortal = atoi(getenv("MORTAL"));
      maxCuts = atoi(getenv("CUTS"));
      ending = atoi(getenv("ENDING"));
      witness = atoi(getenv("WITNESS"));
      now.acceptedByQuorum = atoi(getenv("START"));
      now.published = now.acceptedByQuorum > 0 ? now.acceptedByQuorum : 1;
    };
    begin(0, acceptedByQuorum);
    begin(1, acceptedByQuorum);
    begin(2, acceptedByQuorum);
    run Process(0);
    run Process(1);
    run Process(2);
    run Faults();
    run Monitor()
  }
}
