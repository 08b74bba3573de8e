/*
 * Publish: two operators race to change one entity through different nodes, while answers to appends are lost, requests
 * arrive late, and the log service goes down. An operator is told the true outcome: accepted exactly if replay accepts
 * the record, conflict exactly if it does not and never will, and unavailable only if nothing was appended. A record has
 * its effect once, however often it was appended.
 */
// mutant: NO_READ_BEFORE_REPORT
// mutant: LOST_IS_UNAVAILABLE
// mutant: NO_DUPLICATE_RULE
// mutant: EARLY_CONFLICT

#define LEN 4    /* appends in all */
#define TRIES 2  /* appends of one publish */
#define FREE 255

mtype = { none, accepted, conflict, unavailable, unknown };

byte log[LEN];        /* id of the record at each offset */
byte tail = 0;
bit up = 1;
mtype told[2];        /* what each operator was told */
bit late[2];          /* an append of this record is still under way */
byte appended[2];     /* times that a record is in the log */

/* replay: the first record in the log wins the entity, because both have the same base */
#define winner (tail > 0 -> log[0] : FREE)

/* ghost: effects of a record in replay; the second occurrence of an id is a duplicate */
inline append(id) {
	log[tail] = id;
	tail++;
	appended[id]++
}

proctype Operator(byte id) {
	byte tries = 0;
	bit maybe = 0;    /* an append may have taken effect */
	bit seen = 0;     /* the id is in the log as read to its tail */
	bit lost = 0;     /* another record holds the entity, as read */
	bit rest;
	do
	:: told[id] != none -> break
	:: else ->
		/* read the log to its tail */
		if
		:: atomic { up ->
			seen = (appended[id] > 0);
			lost = (winner != FREE && winner != id)
		}
#ifndef NO_READ_BEFORE_REPORT
		:: atomic { !up || tries == TRIES ->
			if
			:: maybe -> told[id] = unknown
			:: else -> told[id] = unavailable
			fi
		};
			goto done
#endif
		fi;
		if
		:: seen && !lost -> told[id] = accepted; goto done
		:: seen && lost -> told[id] = conflict; goto done
#ifdef EARLY_CONFLICT
		/* reports a conflict for any entity that exists, also if the record itself made it */
		:: atomic { tail > 0 -> told[id] = conflict }; goto done
#endif
		:: !seen && lost -> told[id] = conflict; goto done
		:: !seen && !lost && tries == TRIES ->
			if
			:: maybe -> told[id] = unknown
			:: else -> told[id] = unavailable
			fi;
			goto done
		:: !seen && !lost && tries < TRIES -> skip
		fi;
		/* append */
		tries++;
		if
		:: atomic { up && tail < LEN -> append(id); maybe = 1 }
#ifdef NO_READ_BEFORE_REPORT
			;
			told[id] = accepted; goto done
#endif
		:: atomic { up && tail < LEN -> append(id) }; /* the answer is lost */
#ifdef LOST_IS_UNAVAILABLE
			told[id] = unavailable; goto done
#else
			maybe = 1
#endif
		:: atomic { !late[id] -> late[id] = 1; maybe = 1 } /* the request is delayed and its caller gives up */
		:: skip /* refused: provably not appended */
		fi
	od;
done:
	skip
}

/* the log service: delayed requests arrive, outages begin and end */
proctype LogService() {
end:
	do
	:: atomic { late[0] && tail < LEN -> late[0] = 0; append(0) }
	:: atomic { late[1] && tail < LEN -> late[1] = 0; append(1) }
	:: up = !up
	od
}

#ifdef NO_DUPLICATE_RULE
#define effects(id) (winner == id -> appended[id] : 0)
#else
#define effects(id) (winner == id -> 1 : 0)
#endif

proctype Checker() {
	byte id;
	do
	:: atomic {
		id = 0;
		do
		:: id < 2 ->
			assert(told[id] != accepted || winner == id);
			assert(told[id] != conflict || (winner != FREE && winner != id));
			assert(told[id] != unavailable || (appended[id] == 0 && !late[id]));
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
		told[0] = none; told[1] = none;
		run Operator(0); run Operator(1); run LogService(); run Checker()
	}
}
