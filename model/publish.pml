/*
 * Publish: two operators concurrently change one entity through different nodes, while append responses are lost, append
 * requests are delayed, and the log service has outages.
 *
 * Properties: each operator receives the actual outcome: accepted only if replay accepts the record, conflict only if
 * another record holds the entity, and unavailable only if the record is not and will not be appended. A record takes
 * effect at most once, however often it is appended.
 */
// mutant: NO_READ_BEFORE_REPORT
// mutant: LOST_IS_UNAVAILABLE
// mutant: NO_DUPLICATE_RULE
// mutant: EARLY_CONFLICT

#define LEN 4         /* maximum number of appends in total */
#define MAX_APPENDS 2 /* maximum number of appends per publish */
#define NO_WINNER 255

mtype = { none, accepted, conflict, unavailable, unknown };

byte log[LEN];        /* id of the record at each offset */
byte tail = 0;
bit log_up = 1;
mtype reported[2];    /* outcome reported to each operator */
bit delayed[2];       /* an append request of this record is in flight */
byte append_count[2]; /* number of occurrences of the record in the log */

/* Replay accepts the first record in the log, because both have the same base. */
#define winner (tail > 0 -> log[0] : NO_WINNER)

/* Appends record id; append_count is a ghost variable. */
inline append(id) {
	log[tail] = id;
	tail++;
	append_count[id]++
}

proctype Operator(byte id) {
	byte appends_made = 0;
	bit may_be_appended = 0; /* an append may have succeeded */
	bit in_log = 0;          /* the log, as read to its tail, contains the id */
	bit superseded = 0;      /* the log, as read, gives the entity to another record */
	do
	:: reported[id] != none -> break
	:: else ->
		/* read the log to its tail */
		if
		:: atomic { log_up ->
			in_log = (append_count[id] > 0);
			superseded = (winner != NO_WINNER && winner != id)
		}
#ifndef NO_READ_BEFORE_REPORT
		:: atomic { !log_up || appends_made == MAX_APPENDS ->
			if
			:: may_be_appended -> reported[id] = unknown
			:: else -> reported[id] = unavailable
			fi
		};
			goto done
#endif
		fi;
		if
		:: in_log && !superseded -> reported[id] = accepted; goto done
		:: in_log && superseded -> reported[id] = conflict; goto done
#ifdef EARLY_CONFLICT
		/* reports a conflict for any existing entity, also if this record created it */
		:: atomic { tail > 0 -> reported[id] = conflict }; goto done
#endif
		:: !in_log && superseded -> reported[id] = conflict; goto done
		:: !in_log && !superseded && appends_made == MAX_APPENDS ->
			if
			:: may_be_appended -> reported[id] = unknown
			:: else -> reported[id] = unavailable
			fi;
			goto done
		:: !in_log && !superseded && appends_made < MAX_APPENDS -> skip
		fi;
		/* append */
		appends_made++;
		if
		:: atomic { log_up && tail < LEN -> append(id); may_be_appended = 1 }
#ifdef NO_READ_BEFORE_REPORT
			;
			reported[id] = accepted; goto done
#endif
		:: atomic { log_up && tail < LEN -> append(id) }; /* the response is lost */
#ifdef LOST_IS_UNAVAILABLE
			reported[id] = unavailable; goto done
#else
			may_be_appended = 1
#endif
		:: atomic { !delayed[id] -> delayed[id] = 1; may_be_appended = 1 } /* the request is delayed and the caller times out */
		:: skip /* refused before the append; the record is certainly not appended */
		fi
	od;
done:
	skip
}

/* The log service executes delayed requests; outages start and end. */
proctype LogService() {
end:
	do
	:: atomic { delayed[0] && tail < LEN -> delayed[0] = 0; append(0) }
	:: atomic { delayed[1] && tail < LEN -> delayed[1] = 0; append(1) }
	:: log_up = !log_up
	od
}

/* Number of times that replay applies a record: a further occurrence of an id is a duplicate and has no effect. */
#ifdef NO_DUPLICATE_RULE
#define effects(id) (winner == id -> append_count[id] : 0)
#else
#define effects(id) (winner == id -> 1 : 0)
#endif

proctype Invariants() {
	byte id;
	do
	:: atomic {
		id = 0;
		do
		:: id < 2 ->
			assert(reported[id] != accepted || winner == id);
			assert(reported[id] != conflict || (winner != NO_WINNER && winner != id));
			assert(reported[id] != unavailable || (append_count[id] == 0 && !delayed[id]));
			assert(effects(id) <= 1);
			id++
		:: else -> break
		od;
		id = 0
	}
	od
}

init {
	atomic {
		reported[0] = none; reported[1] = none;
		run Operator(0); run Operator(1); run LogService(); run Invariants()
	}
}
