// At-most-once execution of one request id (docs/design.md, section 7.6, rules 1 to 5).
//
// Two slots have an inbound node each. Slot 0 may crash and restart after the id was made; slot 1 joins at any time,
// which stands for a restart before the id was made as well. An outbound node sends attempt 1, and once more after a true
// "not-run"; its message may arrive at any later time. The client may lose its connection at any moment and resend twice;
// both resends may be resolved at the same time, and an earlier one goes on after the client has turned to the next.
//
// Properties: the id runs at most once, and it never runs after the client has received "not-run".
//
// Time is abstracted to the phases of the id, and the presence stream to the latest record of each slot. Clocks are
// exact here; the implementation adds the clock error to each comparison of times. The comparison of incarnations (rule
// 1a) is left out: in this model it is implied by rule 1c, because the presence of a restarted node is acknowledged
// after every id that its predecessor could have run was made. A resolver that goes on after "superseded" does no harm
// either, since the node that accepts its resend compares ballots; stopping saves a message.
//
// mutant: NO_ACKNOWLEDGEMENT
// mutant: NO_ESTABLISHED_CHECK
// mutant: NO_AGE_LIMIT
// mutant: NO_RETENTION_CHECK
// mutant: NO_ENTRY_CHECK
// mutant: FORWARD_BEFORE_RECORD
// mutant: LOWER_BALLOT_REPLACES
// mutant: ANY_FENCE_ACCEPTED
// mutant: RESEND_WITHOUT_FENCE
// mutant: RESEND_OUTSIDE_WINDOW
// mutant: STALE_ROSTER
// mutant: SILENT_NODE_SKIPPED
// mutant: RESTARTED_NODE_CONFIRMS
// mutant: OLD_ID_CONFIRMED
// mutant: OLD_FENCE_REPLACED
// mutant: PREDECESSOR_IGNORED
// mutant: REFUSED_RESEND_FORGOTTEN
// mutant: REFUSED_RESEND_IGNORED

#define N 2
#define NOBODY 9

// Phases of the id: not made yet, younger than 30 s, older, older than the entry lifetime.
#define UNMADE 0
#define YOUNG 1
#define OLD 2
#define EXPIRED 3

mtype = { none, running, done, fence, refused };   // entries
mtype = { idle, sent, not_run, ended };            // messages; ended: accepted, answered or unknown

byte phase = UNMADE;
bool ran = false;
bool final = false;      // the client has received "not-run"
byte current = 1;        // attempt whose response the client waits for

// Inbound nodes.
bool up[N];
bool acknowledged[N];    // the log has acknowledged the presence record of this incarnation
bool established[N];     // the record was appended before the id was made
bool started[N];         // the process started before the id was made
bool renewed[N];         // the record stays on the stream until the id has expired
mtype entry[N] = none;
byte ballot[N];          // of a fence
byte owner[N] = NOBODY;  // 0: attempt 1, y + 1: resend of resolver y
bool forwarding[N];      // only with FORWARD_BEFORE_RECORD

// Presence stream: latest record of each slot.
bool listed[N];
bool lost;               // the record of slot 0 ended a predecessor after the id was made

// Attempt 1 and the resends.
mtype first = idle;
byte first_target;
mtype resend[2] = idle;
byte resend_target[2];
byte resend_ballot[2];

inline run_id() {
  assert(!ran && !final);
  ran = true
}

// reply_not_run tells the sender of the entry of node n that its message was refused.
inline reply_not_run(n) {
  if
  :: owner[n] == 0 -> first = not_run
  :: else -> resend[owner[n] - 1] = not_run
  fi;
  owner[n] = NOBODY
}

// tell_not_run delivers "not-run" if the client still waits for this attempt.
inline tell_not_run(attempt) {
  if
  :: current == attempt -> final = true
  :: else -> skip
  fi
}

active proctype Time() {
end:
  do
  :: atomic { phase < EXPIRED -> phase++ }
  od
}

// The client may lose its connection at any moment and resend. Time limits of the nodes need no transitions: a process
// that takes no further step behaves like one that has given up.
active proctype Client() {
end:
  do
  :: atomic { phase >= YOUNG && !final && current < 3 -> current++ }
  od
}

// append puts the presence record of node n on the stream. The acknowledgement follows at once: a later one would only
// let the node refuse more, and it may refuse any call as overloaded anyway.
inline append(n) {
  up[n] && !acknowledged[n] ->
  lost = lost || (n == 0 && listed[0] && phase >= YOUNG);
  acknowledged[n] = true;
  listed[n] = true;
  established[n] = (phase == UNMADE);
  if
  :: renewed[n] = true
  :: renewed[n] = false
  fi
}

inline start(n) {
  up[n] = true;
  started[n] = (phase == UNMADE)
}

// Slots starts node 1, crashes and restarts node 0, and lets records leave the stream that are not renewed or whose
// time is over.
active proctype Slots() {
  bool crashed = false;
end:
  do
  :: atomic { !up[1] && phase <= YOUNG -> start(1) }
  :: atomic {
       !crashed && phase == YOUNG ->
       crashed = true;
       up[0] = false;
       entry[0] = none;
       ballot[0] = 0;
       owner[0] = NOBODY;
       forwarding[0] = false;
       acknowledged[0] = false;
       established[0] = false;
       started[0] = false
     }
  :: atomic { !up[0] -> start(0) }
  :: atomic { append(0) }
  :: atomic { append(1) }
  :: atomic { listed[0] && (!renewed[0] || phase == EXPIRED) -> listed[0] = false }
  :: atomic { listed[1] && (!renewed[1] || phase == EXPIRED) -> listed[1] = false }
  od
}

// Conditions under which node n accepts attempt 1.
#ifdef NO_ACKNOWLEDGEMENT
#define RULE_B(n) true
#define RULE_C(n) (established[n] || (!acknowledged[n] && started[n]))
#define RULE_E(n) (renewed[n] || !acknowledged[n])
#else
#define RULE_B(n) acknowledged[n]
#endif
#ifdef NO_ESTABLISHED_CHECK
#define RULE_C(n) true
#endif
#ifndef RULE_C
#define RULE_C(n) established[n]
#endif
#ifdef NO_AGE_LIMIT
#define RULE_D true
#else
#define RULE_D (phase == YOUNG)
#endif
#ifdef NO_RETENTION_CHECK
#define RULE_E(n) true
#endif
#ifndef RULE_E
#define RULE_E(n) renewed[n]
#endif
#ifdef NO_ENTRY_CHECK
#define RULE_F(n) (entry[n] == none || entry[n] == fence)
#else
#define RULE_F(n) (entry[n] == none)
#endif

// Condition under which node n accepts the resend of resolver y.
#define OWN_FENCE(n, y) (entry[n] == fence && ballot[n] == resend_ballot[y])
#ifdef ANY_FENCE_ACCEPTED
#define MATCHES(n, y) (entry[n] == fence)
#endif
#ifdef RESEND_WITHOUT_FENCE
#define MATCHES(n, y) (entry[n] == none || OWN_FENCE(n, y))
#endif
#ifndef MATCHES
#define MATCHES(n, y) OWN_FENCE(n, y)
#endif

// A resend, too, may run only where every later look-up will find it.
#ifdef RESEND_OUTSIDE_WINDOW
#define WINDOW(n) true
#else
#define WINDOW(n) (RULE_B(n) && RULE_C(n) && RULE_E(n))
#endif

#define RESENT(n, y) (resend[y] == sent && resend_target[y] == n)

inline accept_resend(n, y) {
  resend_target[y] = 0;
  resend[y] = ended;
  if
  :: MATCHES(n, y) && WINDOW(n) -> entry[n] = running; ballot[n] = 0; owner[n] = y + 1
  :: else -> skip
  fi
}

proctype Node(byte n) {
end:
  do
  :: atomic {
       up[n] && first == sent && first_target == n ->
       first_target = 0;
       if
       :: RULE_F(n) && RULE_B(n) && RULE_C(n) && RULE_D && RULE_E(n) ->
          first = ended;
          owner[n] = 0;
#ifdef FORWARD_BEFORE_RECORD
          forwarding[n] = true
#else
          entry[n] = running; ballot[n] = 0
#endif
       :: RULE_F(n) -> first = not_run   // a rule refuses it, or the node is overloaded
       :: !RULE_F(n) -> first = ended    // unknown
       fi
     }
  :: atomic { up[n] && (entry[n] == running || forwarding[n]) ->
       run_id();
       forwarding[n] = false;
       entry[n] = done;
       owner[n] = NOBODY
     }
  :: atomic {
       up[n] && entry[n] == running ->   // refused while it waits: its deadline became unreachable
       if
       :: owner[n] == 0 -> entry[n] = none
       :: else ->
#ifdef REFUSED_RESEND_FORGOTTEN
          entry[n] = fence; ballot[n] = resend_ballot[owner[n] - 1]
#else
          entry[n] = refused
#endif
       fi;
       reply_not_run(n)
     }
  :: atomic { up[n] && RESENT(n, 0) -> accept_resend(n, 0) }
  :: atomic { up[n] && RESENT(n, 1) -> accept_resend(n, 1) }
  :: atomic {
       up[n] && phase == EXPIRED && (entry[n] == done || entry[n] == fence || entry[n] == refused) ->
       entry[n] = none;
       ballot[n] = 0
     }
  od
}

active proctype Outbound() {
  byte tries = 0;
end_unmade:
  phase >= YOUNG;
end:
  do
  :: atomic {
       (first == idle || first == not_run) && tries < 2 ->
       tries++;
       if
       :: first_target = 0
       :: first_target = 1
       fi;
       first = sent
     }
  :: atomic { first == not_run -> tell_not_run(1); first = ended }
  od
}

// Conditions of a look-up at node n.
#ifdef RESTARTED_NODE_CONFIRMS
#define KNOWS_START(n) true
#else
#define KNOWS_START(n) started[n]
#endif
#ifdef OLD_ID_CONFIRMED
#define KNOWS_AGE true
#else
#define KNOWS_AGE (phase != EXPIRED)
#endif
#ifdef OLD_FENCE_REPLACED
#define KNOWS_FENCE_AGE true
#else
#define KNOWS_FENCE_AGE (phase != EXPIRED)
#endif
#ifdef LOWER_BALLOT_REPLACES
#define REPLACES(y, n) true
#else
#define REPLACES(y, n) (resend_ballot[y] >= ballot[n])
#endif

proctype Resolver(byte y) {
  bool ask[N];
  byte n;
end_unread:
#ifdef STALE_ROSTER
  current >= y + 2 || phase == UNMADE;
#else
  current >= y + 2;
#endif
  atomic {
    if
    :: resend_ballot[1 - y] == 0 -> if :: resend_ballot[y] = 1 :: resend_ballot[y] = 2 fi
    :: else -> resend_ballot[y] = 3 - resend_ballot[1 - y]
    fi;
    ask[0] = listed[0];
    ask[1] = listed[1];
#ifdef PREDECESSOR_IGNORED
    ask[0] = ask[0] && !lost
#else
    if
    :: lost -> goto stop
    :: else -> skip
    fi
#endif
  }
end_read:
  current >= y + 2;
end_asking:
  do
  :: atomic {
       ask[0] || ask[1] ->
       if
       :: ask[0] -> n = 0
       :: ask[1] -> n = 1
       fi;
       ask[n] = false;
       if
#ifdef SILENT_NODE_SKIPPED
       :: !up[n] -> skip
#else
       :: !up[n] -> goto stop
#endif
       :: up[n] && entry[n] == none ->
          if
          :: KNOWS_START(n) && KNOWS_AGE -> entry[n] = fence; ballot[n] = resend_ballot[y]
          :: else -> goto stop
          fi
       :: up[n] && entry[n] == fence ->
          if
          :: !KNOWS_FENCE_AGE -> goto stop
          :: KNOWS_FENCE_AGE && REPLACES(y, n) -> ballot[n] = resend_ballot[y]
          :: else -> goto stop
          fi
       :: up[n] && (entry[n] == running || entry[n] == done) -> goto stop
#ifdef REFUSED_RESEND_IGNORED
       :: up[n] && entry[n] == refused -> skip
#else
       :: up[n] && entry[n] == refused -> tell_not_run(y + 2); goto stop
#endif
       fi;
       n = 0
     }
  :: atomic {
       !(ask[0] || ask[1]) ->
       if
       :: resend_target[y] = 0
       :: resend_target[y] = 1
       fi;
       resend[y] = sent;
       break
     }
  od;
end_sent:
  atomic { resend[y] == not_run -> tell_not_run(y + 2); resend[y] = ended }
stop:
  atomic { n = 0; ask[0] = false; ask[1] = false }
end:
  false
}

init {
  atomic {
    up[0] = true;
    acknowledged[0] = true;
    established[0] = true;
    started[0] = true;
    renewed[0] = true;
    listed[0] = true;
    run Node(0);
    run Node(1);
    run Resolver(0);
    run Resolver(1)
  }
end:
  false
}
