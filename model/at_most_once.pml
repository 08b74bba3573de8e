// At-most-once execution of one request id (docs/design.md, section 7.6, rules 1 to 5).
//
// Each of two slots has an inbound node. Slot 0 may crash and restart after the id is created. Slot 1 joins at any time,
// which also covers a restart before the id is created. An outbound node sends attempt 1 and retries it once after a
// "not-run"; its messages may be delayed without bound. The client may lose its connection at any time and resend twice;
// both resends may be resolved concurrently, and an earlier one continues after the client has started the next.
//
// Properties: the id runs at most once, and it never runs after the client has received "not-run".
//
// Abstractions: time is reduced to the phases of the id, and the presence stream to the latest record of each slot. Clocks
// are exact; the implementation adds the clock skew bound to each comparison of times. The comparison of incarnations
// (rule 1a) is omitted because rule 1c implies it here: the presence of a restarted node is acknowledged after the
// creation of every id that its predecessor could have run. A resolver that continues after "superseded" is harmless,
// since the node that accepts its resend compares ballots; stopping only saves a message.
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
#define NO_OWNER 9

// Attempt number of resend y.
#define ATTEMPT(y) (y + 2)

// Phases of the id: not created yet, younger than 30 s, older than 30 s, older than the entry lifetime.
#define NOT_CREATED 0
#define YOUNG 1
#define OLD 2
#define EXPIRED 3

mtype = { none, running, done, fence, refused };  // states of a table entry
mtype = { idle, sent, not_run, ended };           // states of a message; ended: accepted, answered or unknown

byte phase = NOT_CREATED;
bool executed = false;
bool not_run_delivered = false;  // the client has received "not-run"
byte current_attempt = 1;        // attempt whose response the client awaits

// Inbound nodes.
bool up[N];
bool presence_acknowledged[N];  // the log acknowledged this incarnation's presence record
bool presence_before_id[N];     // the record was appended before the id was created
bool started_before_id[N];      // the process started before the id was created
bool presence_retained[N];      // the record stays on the stream until the id expires
mtype entry[N] = none;
byte ballot[N];                 // ballot of a fence
byte owner[N] = NO_OWNER;       // 0: attempt 1, y + 1: resend of resolver y
bool forwarding[N];             // only with FORWARD_BEFORE_RECORD

// Presence stream, with the latest record of each slot.
bool on_stream[N];
bool predecessor_ended;  // a new record of slot 0 replaced its earlier one on the stream after the id was created

// Attempt 1 and the resends.
mtype attempt1 = idle;
byte attempt1_target;
mtype resend[2] = idle;
byte resend_target[2];
byte resend_ballot[2];

inline execute() {
  assert(!executed && !not_run_delivered);
  executed = true
}

// reply_not_run returns "not-run" to the sender of the message that created the entry at node n.
inline reply_not_run(n) {
  if
  :: owner[n] == 0 -> attempt1 = not_run
  :: else -> resend[owner[n] - 1] = not_run
  fi;
  owner[n] = NO_OWNER
}

// deliver_not_run delivers "not-run" to the client if the client still awaits this attempt.
inline deliver_not_run(attempt) {
  if
  :: current_attempt == attempt -> not_run_delivered = true
  :: else -> skip
  fi
}

active proctype Clock() {
end:
  do
  :: atomic { phase < EXPIRED -> phase++ }
  od
}

// The client may lose its connection at any time and resend. Timeouts at the nodes need no transitions: a process that
// takes no further step behaves like one that has timed out.
active proctype Client() {
end:
  do
  :: atomic { phase >= YOUNG && !not_run_delivered && current_attempt < 3 -> current_attempt++ }
  od
}

// append_presence appends the presence record of node n to the stream. The acknowledgement is immediate: a delayed one only
// makes the node refuse more calls, and the node may refuse any call as overloaded anyway.
inline append_presence(n) {
  up[n] && !presence_acknowledged[n] ->
  predecessor_ended = predecessor_ended || (n == 0 && on_stream[0] && phase >= YOUNG);
  presence_acknowledged[n] = true;
  on_stream[n] = true;
  presence_before_id[n] = (phase == NOT_CREATED);
  if
  :: presence_retained[n] = true
  :: presence_retained[n] = false
  fi
}

inline start_node(n) {
  up[n] = true;
  started_before_id[n] = (phase == NOT_CREATED)
}

// Lifecycle starts node 1, crashes and restarts node 0, and removes presence records from the stream that are not renewed
// or whose retention has passed.
active proctype Lifecycle() {
  bool crashed = false;
end:
  do
  :: atomic { !up[1] && phase <= YOUNG -> start_node(1) }
  :: atomic {
       !crashed && phase == YOUNG ->
       crashed = true;
       up[0] = false;
       entry[0] = none;
       ballot[0] = 0;
       owner[0] = NO_OWNER;
       forwarding[0] = false;
       presence_acknowledged[0] = false;
       presence_before_id[0] = false;
       started_before_id[0] = false
     }
  :: atomic { !up[0] -> start_node(0) }
  :: atomic { append_presence(0) }
  :: atomic { append_presence(1) }
  :: atomic { on_stream[0] && (!presence_retained[0] || phase == EXPIRED) -> on_stream[0] = false }
  :: atomic { on_stream[1] && (!presence_retained[1] || phase == EXPIRED) -> on_stream[1] = false }
  od
}

// Conditions for node n to accept attempt 1. RULE_B to RULE_F are rules 1b to 1f of docs/design.md, section 7.6.
#ifdef NO_ACKNOWLEDGEMENT
#define RULE_B(n) true
#define RULE_C(n) (presence_before_id[n] || (!presence_acknowledged[n] && started_before_id[n]))
#define RULE_E(n) (presence_retained[n] || !presence_acknowledged[n])
#else
#define RULE_B(n) presence_acknowledged[n]
#endif
#ifdef NO_ESTABLISHED_CHECK
#define RULE_C(n) true
#endif
#ifndef RULE_C
#define RULE_C(n) presence_before_id[n]
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
#define RULE_E(n) presence_retained[n]
#endif
#ifdef NO_ENTRY_CHECK
#define RULE_F(n) (entry[n] == none || entry[n] == fence)
#else
#define RULE_F(n) (entry[n] == none)
#endif

// Condition for node n to accept the resend of resolver y.
#define OWN_BALLOT_FENCE(n, y) (entry[n] == fence && ballot[n] == resend_ballot[y])
#ifdef ANY_FENCE_ACCEPTED
#define FENCE_MATCHES(n, y) (entry[n] == fence)
#endif
#ifdef RESEND_WITHOUT_FENCE
#define FENCE_MATCHES(n, y) (entry[n] == none || OWN_BALLOT_FENCE(n, y))
#endif
#ifndef FENCE_MATCHES
#define FENCE_MATCHES(n, y) OWN_BALLOT_FENCE(n, y)
#endif

// A resend may run only where every later lookup finds its entry.
#ifdef RESEND_OUTSIDE_WINDOW
#define RESEND_ALLOWED(n) true
#else
#define RESEND_ALLOWED(n) (RULE_B(n) && RULE_C(n) && RULE_E(n))
#endif

#define RESEND_PENDING(n, y) (resend[y] == sent && resend_target[y] == n)

inline accept_resend(n, y) {
  resend_target[y] = 0;
  resend[y] = ended;
  if
  :: FENCE_MATCHES(n, y) && RESEND_ALLOWED(n) -> entry[n] = running; ballot[n] = 0; owner[n] = y + 1
  :: else -> skip
  fi
}

proctype Node(byte n) {
end:
  do
  :: atomic {
       up[n] && attempt1 == sent && attempt1_target == n ->
       attempt1_target = 0;
       if
       :: RULE_F(n) && RULE_B(n) && RULE_C(n) && RULE_D && RULE_E(n) ->
          attempt1 = ended;
          owner[n] = 0;
#ifdef FORWARD_BEFORE_RECORD
          forwarding[n] = true
#else
          entry[n] = running; ballot[n] = 0
#endif
       :: RULE_F(n) -> attempt1 = not_run   // refused by a rule, or the node is overloaded
       :: !RULE_F(n) -> attempt1 = ended    // outcome unknown
       fi
     }
  :: atomic { up[n] && (entry[n] == running || forwarding[n]) ->
       execute();
       forwarding[n] = false;
       entry[n] = done;
       owner[n] = NO_OWNER
     }
  :: atomic {
       up[n] && entry[n] == running ->   // refused while queued: the deadline is unreachable
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
  :: atomic { up[n] && RESEND_PENDING(n, 0) -> accept_resend(n, 0) }
  :: atomic { up[n] && RESEND_PENDING(n, 1) -> accept_resend(n, 1) }
  :: atomic {
       up[n] && phase == EXPIRED && (entry[n] == done || entry[n] == fence || entry[n] == refused) ->
       entry[n] = none;
       ballot[n] = 0
     }
  od
}

active proctype Outbound() {
  byte attempts = 0;
end_not_created:
  phase >= YOUNG;
end:
  do
  :: atomic {
       (attempt1 == idle || attempt1 == not_run) && attempts < 2 ->
       attempts++;
       if
       :: attempt1_target = 0
       :: attempt1_target = 1
       fi;
       attempt1 = sent
     }
  :: atomic { attempt1 == not_run -> deliver_not_run(1); attempt1 = ended }
  od
}

// Conditions of a lookup at node n.
#ifdef RESTARTED_NODE_CONFIRMS
#define STARTED_BEFORE_ID(n) true
#else
#define STARTED_BEFORE_ID(n) started_before_id[n]
#endif
#ifdef OLD_ID_CONFIRMED
#define ID_IN_LIFETIME true
#else
#define ID_IN_LIFETIME (phase != EXPIRED)
#endif
#ifdef OLD_FENCE_REPLACED
#define FENCE_IN_LIFETIME true
#else
#define FENCE_IN_LIFETIME (phase != EXPIRED)
#endif
#ifdef LOWER_BALLOT_REPLACES
#define BALLOT_REPLACES(y, n) true
#else
#define BALLOT_REPLACES(y, n) (resend_ballot[y] >= ballot[n])
#endif

proctype Resolver(byte y) {
  bool pending[N];
  byte n;
end_start:
#ifdef STALE_ROSTER
  current_attempt >= ATTEMPT(y) || phase == NOT_CREATED;
#else
  current_attempt >= ATTEMPT(y);
#endif
  atomic {
    if
    :: resend_ballot[1 - y] == 0 -> if :: resend_ballot[y] = 1 :: resend_ballot[y] = 2 fi
    :: else -> resend_ballot[y] = 3 - resend_ballot[1 - y]
    fi;
    pending[0] = on_stream[0];
    pending[1] = on_stream[1];
#ifdef PREDECESSOR_IGNORED
    pending[0] = pending[0] && !predecessor_ended
#else
    if
    :: predecessor_ended -> goto stop
    :: else -> skip
    fi
#endif
  }
end_roster_read:
  current_attempt >= ATTEMPT(y);
end_querying:
  do
  :: atomic {
       pending[0] || pending[1] ->
       if
       :: pending[0] -> n = 0
       :: pending[1] -> n = 1
       fi;
       pending[n] = false;
       if
#ifdef SILENT_NODE_SKIPPED
       :: !up[n] -> skip
#else
       :: !up[n] -> goto stop
#endif
       :: up[n] && entry[n] == none ->
          if
          :: STARTED_BEFORE_ID(n) && ID_IN_LIFETIME -> entry[n] = fence; ballot[n] = resend_ballot[y]
          :: else -> goto stop
          fi
       :: up[n] && entry[n] == fence ->
          if
          :: !FENCE_IN_LIFETIME -> goto stop
          :: FENCE_IN_LIFETIME && BALLOT_REPLACES(y, n) -> ballot[n] = resend_ballot[y]
          :: else -> goto stop
          fi
       :: up[n] && (entry[n] == running || entry[n] == done) -> goto stop
#ifdef REFUSED_RESEND_IGNORED
       :: up[n] && entry[n] == refused -> skip
#else
       :: up[n] && entry[n] == refused -> deliver_not_run(ATTEMPT(y)); goto stop
#endif
       fi;
       n = 0
     }
  :: atomic {
       !(pending[0] || pending[1]) ->
       if
       :: resend_target[y] = 0
       :: resend_target[y] = 1
       fi;
       resend[y] = sent;
       break
     }
  od;
end_sent:
  atomic { resend[y] == not_run -> deliver_not_run(ATTEMPT(y)); resend[y] = ended }
stop:
  atomic { n = 0; pending[0] = false; pending[1] = false }
end:
  false
}

init {
  atomic {
    up[0] = true;
    presence_acknowledged[0] = true;
    presence_before_id[0] = true;
    started_before_id[0] = true;
    presence_retained[0] = true;
    on_stream[0] = true;
    run Node(0);
    run Node(1);
    run Resolver(0);
    run Resolver(1)
  }
end:
  false
}
