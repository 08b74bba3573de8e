/*
 * Version order: no node serves a version older than one that it served before, also across restarts (G1), and a node
 * serves only versions with everything below them.
 *
 * Members of one data centre read the log (any of them may, since roles follow views that differ), push entries to each
 * other, pull, and exchange heartbeats. A push of member 0 may arrive late, repeatedly and in any order, also after the
 * member was frozen or has restarted. The log service goes down and comes back; records expire once a checkpoint covers them. A
 * checkpoint writer may be frozen, so that a late checkpoint is older than an earlier one.
 *
 * A version is the offset of its record. Assumption: either one member crashes while the others run and know their
 * floors, or all crash. Floors are kept in the memory of peers only, so the loss of exactly those members that know the
 * latest version, while the log service is down, cannot be noticed.
 *
 * mutants:
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
	bit asked;  /* has asked its peers for their floor since its start */
	bit sawReady; /* a peer that was ready answered */
	bit ready;
	bit hole;   /* an entry below pos was never applied */
	byte pos;   /* last entry applied */
	byte act;   /* version served, 0 for none */
	byte heard; /* highest position heard of */
	byte late;  /* bit e is set if a push of entry e may still arrive from this member */
	byte served /* ghost: highest version served, across restarts */
};

Member m[N];
bit platform = 1;
byte tail = 1;       /* last record of the log */
byte first = 1;      /* first record retained */
byte checkpoint = 0; /* offset of the latest checkpoint on its stream */

byte i, j, k, e;

inline hear(to, value) {
	if
	:: m[to].heard < value -> m[to].heard = value
	:: else
	fi
}

/* another running member must know the version, if there is any */
#define peerRunning(a) (m[(a + 1) % N].running || m[(a + 2) % N].running)
#ifdef NO_HOLDER
#define confirmed(a) true
#else
#define confirmed(a) (m[a].pos <= m[a].heard || !peerRunning(a))
#endif

#ifdef NO_FLOOR
#define aboveFloor(a) true
#else
#define aboveFloor(a) (m[a].pos >= m[a].heard)
#endif

#ifdef NO_TAIL
#define tailRead(a) true
#else
#define tailRead(a) (m[a].pos >= tail)
#endif

/* starting peers may have lost the floor themselves, so one that is ready must be among those that answered */
#ifdef NO_READY_PEER
#define readyPeer(a) true
#else
#define readyPeer(a) (m[a].sawReady)
#endif

inline serve(a) {
	if
	:: m[a].ready && m[a].pos != m[a].act && confirmed(a) ->
		m[a].act = m[a].pos;
		assert(!m[a].hole);
		assert(m[a].act >= m[a].served);
		m[a].served = m[a].act
	:: else
	fi
}

/* makes a starting member ready; its position is confirmed by the log or by its peers */
inline becomeReady(a) {
	if
	:: !m[a].ready && aboveFloor(a) && confirmed(a) && m[a].pos > 0 -> m[a].ready = 1
	:: else
	fi;
	serve(a)
}

/* takes a whole state at an offset */
inline adopt(a, offset) {
	if
#ifdef OLD_CHECKPOINT
	:: m[a].pos != offset -> m[a].pos = offset
#else
	:: m[a].pos < offset -> m[a].pos = offset; m[a].hole = 0
#endif
	:: else
	fi
}

inline applyEntry(a, entry) {
	if
	:: entry == m[a].pos + 1 -> m[a].pos = entry
#ifdef APPLY_OLD
	:: entry <= m[a].pos -> m[a].pos = entry
#endif
#ifdef APPLY_GAP
	:: entry > m[a].pos + 1 -> m[a].pos = entry; m[a].hole = 1
#endif
	:: else
	fi
}

inline crash(a) {
	m[a].running = 0; m[a].asked = 0; m[a].sawReady = 0; m[a].ready = 0; m[a].hole = 0;
	m[a].pos = 0; m[a].act = 0; m[a].heard = 0
}

inline choosePeer(a) {
	if
	:: j = (a + 1) % N
	:: j = (a + 2) % N
	fi
}

inline askPeers(a) {
	k = 0;
	do
	:: k < N ->
		if
		:: k != a && m[k].running ->
			hear(a, m[k].pos);
			m[a].sawReady = m[a].sawReady | m[k].ready;
#ifndef OWN_POSITION_ONLY
			hear(a, m[k].heard);
#endif
		:: else
		fi;
		k++
	:: else -> break
	od;
	k = 0;
	m[a].asked = 1;
#ifndef OLD_INCARNATION
	m[a].late = 0 /* peers now ignore what the earlier incarnation sent */
#endif
}

init {
	atomic {
		i = 0;
		do
		:: i < N ->
			m[i].running = 1; m[i].asked = 1; m[i].ready = 1;
			m[i].pos = 1; m[i].heard = 1; m[i].act = 1; m[i].served = 1;
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
		/* an operator's record is appended */
		:: platform && tail < MAXV -> tail++
		:: platform = !platform

		/* read one entry of the log; a member behind the retention loads the checkpoint */
		:: platform && m[i].running && m[i].asked && m[i].pos < tail ->
			if
			:: m[i].pos + 1 >= first -> m[i].pos = m[i].pos + 1
			:: else -> adopt(i, checkpoint)
			fi;
			serve(i)

		/* the reader that freezes pushes an entry, which may arrive at any time from now on; a push that arrives at once
		   is the same as a heartbeat and a pull */
		:: i == 0 && m[i].running && m[i].asked && m[i].pos > 0 ->
			m[i].late = m[i].late | (1 << m[i].pos)

		/* a push of i arrives at j, which states its position in return */
		:: m[i].late ->
			choosePeer(i);
			e = 1;
			do
			:: e < MAXV -> e++
			:: break
			od;
			if
			:: m[j].running && (m[i].late & (1 << e)) ->
				hear(j, e);
				applyEntry(j, e);
				serve(j);
				if
				:: m[i].running -> hear(i, m[j].pos); serve(i)
				:: skip /* the answer is lost */
				fi
			:: else
			fi;
			e = 0

		/* heartbeat of i, and a pull by j if it is behind */
		:: m[i].running && m[i].pos > 0 ->
			choosePeer(i);
			if
			:: m[j].running ->
				hear(j, m[i].pos);
				if
				:: m[j].pos < m[i].pos -> m[j].pos = m[i].pos; m[j].hole = m[i].hole
				:: true
				fi;
				serve(j)
			:: else
			fi

		/* checkpoints and retention */
		:: platform && m[i].running && m[i].pos > checkpoint -> checkpoint = m[i].pos
		:: platform && checkpoint > 1 -> checkpoint = 1 /* by a writer that was frozen */
		:: first <= checkpoint && first < MAXV -> first++
#ifdef OLD_CHECKPOINT
		:: platform && m[i].running && m[i].asked && checkpoint > 0 -> adopt(i, checkpoint); serve(i)
#endif

		/* crash, restart, and the steps of a start */
		:: m[i].running && m[(i + 1) % N].running && m[(i + 2) % N].running && m[(i + 1) % N].asked && m[(i + 2) % N].asked ->
			crash(i)
		:: crash(0); crash(1); crash(2) /* the whole data centre restarts */
		:: !m[i].running -> m[i].running = 1
		:: m[i].running && !m[i].sawReady && !m[i].ready -> askPeers(i)
		:: m[i].running && m[i].asked && !m[i].ready && platform && tailRead(i) -> becomeReady(i)
		:: m[i].running && !m[i].ready && !platform && readyPeer(i) -> becomeReady(i)
		fi;
		i = 0; j = 0
	}
	od
}
