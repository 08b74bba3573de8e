/*
 * Roll-out: two deciders move the requests of a service from a base version to a target version. Each may be paused or replaced at any
 * step; responses of the store are lost; the node beside a base instance restarts and forgets its permit.
 *
 * Properties: when the roll-out is completed, no request is on the base instance and none reaches it; the phase never goes back; only one
 * decider's permits are in force after a hand-over.
 */
// mutant: NO_CONDITION
// mutant: NO_EPOCH_AT_NODE
// mutant: COMPLETES_WITHOUT_CONFIRMATION
// mutant: IGNORES_IN_FLIGHT
// mutant: RESTARTS_OPEN

#define MAX_EPOCH 5
#define MAX_RESTARTS 1
#define NOBODY 2

mtype = { canary, moving, completed, rolled_back };

/* record of the store */
mtype phase = canary;
byte epoch = 0;
byte owner = NOBODY;

/* node beside the base instance */
bit base_open = 1;
byte node_epoch = 0;
byte in_flight = 0;
byte restarts = 0;
bit reopened = 0;      /* ghost: the node got the permit of the roll-back */

inline check_transition(next) {
	assert(phase != completed && phase != rolled_back || next == phase);
	assert(!(phase == moving && next == canary))
}

proctype Decider(byte id) {
	byte known = 0;      /* epoch under which this decider acts */
	mtype my_phase = canary;
	mtype next;
	bit confirmed = 0;   /* the node confirmed, under the known epoch, that it is closed */
	bit lost;
	bit written;
end:	do
	:: atomic { epoch < MAX_EPOCH && phase != completed && phase != rolled_back && owner != id ->
		/* claim: read and conditional write; a lost response is noticed by reading again */
		epoch++; owner = id; known = epoch; my_phase = phase; confirmed = 0 }
	:: atomic { known > 0 && epoch < MAX_EPOCH && my_phase == canary -> 
		if
		:: next = moving
		:: next = rolled_back
		fi };
		goto write
	:: known > 0 && my_phase == moving ->
		/* a permit that closes the base version */
		atomic {
			if
#ifdef NO_EPOCH_AT_NODE
			:: assert(!reopened); base_open = 0; node_epoch = known;
#else
			:: known >= node_epoch -> assert(!reopened); base_open = 0; node_epoch = known;
#endif
#ifdef IGNORES_IN_FLIGHT
				confirmed = 1
#else
				confirmed = (in_flight == 0)
#endif
#ifndef NO_EPOCH_AT_NODE
			:: else -> confirmed = 0
#endif
			fi
		}
	:: known > 0 && my_phase == rolled_back ->
		atomic { if :: known >= node_epoch -> base_open = 1; node_epoch = known; reopened = 1 :: else fi };
		break
#ifdef COMPLETES_WITHOUT_CONFIRMATION
	:: atomic { known > 0 && epoch < MAX_EPOCH && my_phase == moving -> next = completed }; goto write
#else
	:: atomic { known > 0 && epoch < MAX_EPOCH && my_phase == moving && confirmed -> next = completed }; goto write
#endif
	:: atomic { known > 0 && epoch < MAX_EPOCH && my_phase == moving -> next = rolled_back }; goto write
	:: my_phase == completed || phase == completed || phase == rolled_back && my_phase != rolled_back -> break
	od;
	goto stop;
write:	atomic {
		/* conditional write; the response may be lost, then the store is read again */
		written = 0;
		if
#ifdef NO_CONDITION
		:: 1 ->
#else
		:: epoch == known ->
#endif
			check_transition(next);
			phase = next; epoch++; owner = id; written = 1;
			assert(next != completed || !base_open && in_flight == 0)
		:: else
		fi;
		if
		:: written -> known = epoch; my_phase = next; confirmed = 0
		:: else -> known = 0; confirmed = 0 /* superseded */
		fi
	};
	goto end;
stop:	skip
}

active proctype BaseNode() {
end:	do
	:: atomic { base_open && in_flight < 1 && phase != completed -> in_flight++ }
	:: atomic { in_flight > 0 -> in_flight-- }
	:: atomic { restarts < MAX_RESTARTS -> restarts++;
		in_flight = 0; node_epoch = epoch;
#ifdef RESTARTS_OPEN
		base_open = 1
#else
		base_open = (phase == canary || phase == rolled_back) /* as the store says */
#endif
	}
	:: atomic { phase == completed -> assert(!base_open && in_flight == 0); break }
	:: phase == rolled_back && in_flight == 0 -> break
	od
}

init { atomic { run Decider(0); run Decider(1) } }
