/*
 * Version order: no node serves an older version than it served before, also across restarts (docs/guarantees.md, G1), and
 * a node serves a version only if it has applied all earlier entries.
 *
 * Members of one data centre read the log, push entries to each other, pull, and exchange heartbeats. Any member may be a
 * reader, because roles are computed from membership views that may differ. A push of member 0 may be delayed, duplicated
 * and reordered, also across a freeze or restart of the member. The log service has outages; records expire once a
 * checkpoint covers them. A checkpoint writer may freeze, so that a later checkpoint holds an older version.
 *
 * A version is the offset of its record. A member's floor is the highest version that it knows to exist. Assumption: either
 * one member crashes while the others run and know their floors, or all members crash. Floors are held only in the memory
 * of peers, so if exactly the members that know the latest version are lost while the log service is down, the loss cannot
 * be detected.
 *
 * Mutants:
 */
// mutant: APPLY_OLD
// mutant: APPLY_GAP
// mutant: NO_FLOOR
// mutant: NO_READY_PEER
// mutant: NO_TAIL
// mutant: NO_HOLDER
// mutant: OWN_POSITION_ONLY
// mutant: OLD_CHECKPOINT
// mutant: OLD_INCARNATION

#define N 3
#define MAXV 2

typedef Member {
	bit running;
	bit peers_queried;   /* has queried its peers for their floors since its start */
	bit ready_peer_seen; /* a ready peer answered the query */
	bit ready;
	bit gap;             /* an entry before the last applied one is missing */
	byte applied;        /* last applied entry */
	byte serving;        /* version served, 0 for none */
	byte floor;          /* highest version known from peers */
	byte delayed_pushes; /* bit e: a push of entry e from this member may still arrive */
	byte max_served      /* ghost variable: highest version served, across restarts */
};

Member m[N];
bit platform_up = 1;
byte tail = 1;           /* last record of the log */
byte first_retained = 1; /* first record retained */
byte checkpoint = 0; /* offset of the latest checkpoint on its stream */

byte i, j, k, e;

inline raiseFloor(to, value) {
	if
	:: m[to].floor < value -> m[to].floor = value
	:: else
	fi
}

/* A running peer, if there is one, must have the version too. */
#define peerRunning(a) (m[(a + 1) % N].running || m[(a + 2) % N].running)
#ifdef NO_HOLDER
#define peerHasVersion(a) true
#else
#define peerHasVersion(a) (m[a].applied <= m[a].floor || !peerRunning(a))
#endif

#ifdef NO_FLOOR
#define notBelowFloor(a) true
#else
#define notBelowFloor(a) (m[a].applied >= m[a].floor)
#endif

#ifdef NO_TAIL
#define tailRead(a) true
#else
#define tailRead(a) (m[a].applied >= tail)
#endif

/* Peers that are starting may have lost the floor, so a ready peer must have answered. */
#ifdef NO_READY_PEER
#define readyPeer(a) true
#else
#define readyPeer(a) (m[a].ready_peer_seen)
#endif

inline serve(a) {
	if
	:: m[a].ready && m[a].applied != m[a].serving && peerHasVersion(a) ->
		m[a].serving = m[a].applied;
		assert(!m[a].gap);
		assert(m[a].serving >= m[a].max_served);
		m[a].max_served = m[a].serving
	:: else
	fi
}

/* Makes a starting member ready if its applied version is not below its floor and a peer has that version. */
inline tryReady(a) {
	if
	:: !m[a].ready && notBelowFloor(a) && peerHasVersion(a) && m[a].applied > 0 -> m[a].ready = 1
	:: else
	fi;
	serve(a)
}

/* Loads the complete state at an offset. */
inline loadState(a, offset) {
	if
#ifdef OLD_CHECKPOINT
	:: m[a].applied != offset -> m[a].applied = offset
#else
	:: m[a].applied < offset -> m[a].applied = offset; m[a].gap = 0
#endif
	:: else
	fi
}

inline applyEntry(a, entry) {
	if
	:: entry == m[a].applied + 1 -> m[a].applied = entry
#ifdef APPLY_OLD
	:: entry <= m[a].applied -> m[a].applied = entry
#endif
#ifdef APPLY_GAP
	:: entry > m[a].applied + 1 -> m[a].applied = entry; m[a].gap = 1
#endif
	:: else
	fi
}

inline crash(a) {
	m[a].running = 0; m[a].peers_queried = 0; m[a].ready_peer_seen = 0; m[a].ready = 0; m[a].gap = 0;
	m[a].applied = 0; m[a].serving = 0; m[a].floor = 0
}

inline choosePeer(a) {
	if
	:: j = (a + 1) % N
	:: j = (a + 2) % N
	fi
}

inline queryPeers(a) {
	k = 0;
	do
	:: k < N ->
		if
		:: k != a && m[k].running ->
			raiseFloor(a, m[k].applied);
			m[a].ready_peer_seen = m[a].ready_peer_seen | m[k].ready;
#ifndef OWN_POSITION_ONLY
			raiseFloor(a, m[k].floor);
#endif
		:: else
		fi;
		k++
	:: else -> break
	od;
	k = 0;
	m[a].peers_queried = 1;
#ifndef OLD_INCARNATION
	m[a].delayed_pushes = 0 /* peers now ignore pushes of the earlier incarnation */
#endif
}

init {
	atomic {
		i = 0;
		do
		:: i < N ->
			m[i].running = 1; m[i].peers_queried = 1; m[i].ready = 1;
			m[i].applied = 1; m[i].floor = 1; m[i].serving = 1; m[i].max_served = 1;
			i++
		:: else -> break
		od;
		i = 0
	}
	do
	:: atomic {
		/* i acts; j is its peer */
		if
		:: i = 0
		:: i = 1
		:: i = 2
		fi;
		if
		/* an operator's record is appended; the platform fails or recovers */
		:: platform_up && tail < MAXV -> tail++
		:: platform_up = !platform_up

		/* read one log entry; a member that lags behind the retained records loads the checkpoint */
		:: platform_up && m[i].running && m[i].peers_queried && m[i].applied < tail ->
			if
			:: m[i].applied + 1 >= first_retained -> m[i].applied = m[i].applied + 1
			:: else -> loadState(i, checkpoint)
			fi;
			serve(i)

		/* member 0, a reader that may freeze, pushes an entry that may arrive at any later time; an immediate push is
		   equivalent to a heartbeat and a pull */
		:: i == 0 && m[i].running && m[i].peers_queried && m[i].applied > 0 ->
			m[i].delayed_pushes = m[i].delayed_pushes | (1 << m[i].applied)

		/* a push of i arrives at j, whose response carries its applied version */
		:: m[i].delayed_pushes ->
			choosePeer(i);
			e = 1;
			do
			:: e < MAXV -> e++
			:: break
			od;
			if
			:: m[j].running && (m[i].delayed_pushes & (1 << e)) ->
				raiseFloor(j, e);
				applyEntry(j, e);
				serve(j);
				if
				:: m[i].running -> raiseFloor(i, m[j].applied); serve(i)
				:: skip /* the response is lost */
				fi
			:: else
			fi;
			e = 0

		/* heartbeat of i, followed by a pull if j lags */
		:: m[i].running && m[i].applied > 0 ->
			choosePeer(i);
			if
			:: m[j].running ->
				raiseFloor(j, m[i].applied);
				if
				:: m[j].applied < m[i].applied -> m[j].applied = m[i].applied; m[j].gap = m[i].gap
				:: true
				fi;
				serve(j)
			:: else
			fi

		/* checkpoints and retention */
		:: platform_up && m[i].running && m[i].applied > checkpoint -> checkpoint = m[i].applied
		:: platform_up && checkpoint > 1 -> checkpoint = 1 /* by a writer that resumes after a freeze */
		:: first_retained <= checkpoint && first_retained < MAXV -> first_retained++
#ifdef OLD_CHECKPOINT
		:: platform_up && m[i].running && m[i].peers_queried && checkpoint > 0 -> loadState(i, checkpoint); serve(i)
#endif

		/* crash, restart, and the steps of the startup */
		:: m[i].running && m[(i + 1) % N].running && m[(i + 2) % N].running && m[(i + 1) % N].peers_queried && m[(i + 2) % N].peers_queried ->
			crash(i)
		:: crash(0); crash(1); crash(2) /* the whole data centre restarts */
		:: !m[i].running -> m[i].running = 1
		:: m[i].running && !m[i].ready_peer_seen && !m[i].ready -> queryPeers(i)
		:: m[i].running && m[i].peers_queried && !m[i].ready && platform_up && tailRead(i) -> tryReady(i)
		:: m[i].running && !m[i].ready && !platform_up && readyPeer(i) -> tryReady(i)
		fi;
		i = 0; j = 0
	}
	od
}
