/*
 * Limit of a team over two nodes that exchange counts through a collector. Links to the collector are cut and come back, the collector may be
 * late with its reply, and each node gets at most one request of the team in each tick. One window: counts do not leave it.
 *
 * Property: both nodes together grant at most LIMIT requests, and what they can grant on counts of the age that the protocol accepts.
 */
// mutant: NO_SHARE
// mutant: NOTHING_SET_ASIDE
// mutant: ACCEPTS_LATE_REPLIES

#define LIMIT 6
#define GRACE 1         /* ticks after which a node without news is out of touch */
#define TIMEOUT 1       /* ticks after which a reply does not count */
#define MARGIN 3        /* GRACE + TIMEOUT + the tick in which counts are taken */
#define TICKS 6
#define CUTS 1
#define SHARE (LIMIT / 2)

byte granted[2];
byte others[2];         /* what a node takes the other one to have granted */
byte age[2];            /* ticks since the latest reply */
byte counted[2];        /* at the collector */
byte silent[2];         /* ticks since the latest report to the collector */
bit asking[2];          /* a reply is on its way */
byte reply[2];
byte delay[2];          /* ticks since the collector sent it */
bit cut[2];
bit got[2];             /* a request in this tick */
byte ticks = 0, cuts = 0;

inline request(i) {
	got[i] = 1;
	if
#ifndef NO_SHARE
	:: age[i] > GRACE && others[i] < SHARE -> room = SHARE
#endif
	:: else -> room = LIMIT - others[i]
	fi;
	if
	:: granted[i] < room -> granted[i]++;
		assert(granted[0] + granted[1] <= LIMIT + MARGIN)
	:: else
	fi
}

inline report(i) {
	counted[i] = granted[i];
	silent[i] = 0;
	reply[i] = counted[1 - i];
#ifndef NOTHING_SET_ASIDE
	if
	:: silent[1 - i] > GRACE && reply[i] < SHARE -> reply[i] = SHARE
	:: else
	fi;
#endif
	asking[i] = 1;
	delay[i] = 0
}

inline arrive(i) {
	asking[i] = 0;
	if
#ifndef ACCEPTS_LATE_REPLIES
	:: delay[i] > TIMEOUT -> age[i] = GRACE + 1
#endif
	:: else -> others[i] = reply[i]; age[i] = 0
	fi
}

inline older(x) { if :: x <= GRACE + TIMEOUT -> x++ :: else fi }

active proctype Fleet() {
	byte room;
end:	do
	:: atomic { !got[0] -> request(0) }
	:: atomic { !got[1] -> request(1) }
	:: atomic { !asking[0] && !cut[0] -> report(0) }
	:: atomic { !asking[1] && !cut[1] -> report(1) }
	:: atomic { asking[0] && !cut[0] -> arrive(0) }
	:: atomic { asking[1] && !cut[1] -> arrive(1) }
	:: atomic { cuts < CUTS -> cuts++; cut[0] = 1 - cut[0] }
	:: atomic { cuts < CUTS -> cuts++; cut[1] = 1 - cut[1] }
	:: atomic { ticks < TICKS -> ticks++;
		got[0] = 0; got[1] = 0;
		older(age[0]); older(age[1]); older(silent[0]); older(silent[1]); older(delay[0]); older(delay[1]) }
	:: ticks == TICKS -> break
	od
}
