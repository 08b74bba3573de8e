package distribution

import (
	"math/rand/v2"
	"time"
)

// Timing sets intervals, limits and the seed of the random source. Zero fields take the defaults.
type Timing struct {
	Tick          time.Duration // default 100 ms; each tick wakes an idle process
	RoleInterval  time.Duration // how often reader, relay and checkpoint roles are computed; default 500 ms
	PollWait      time.Duration // how long a reader waits for new records in one request; default 20 s
	RetryBase     time.Duration // first backoff of reads and pulls, doubled up to RetryMax, with full jitter; default 100 ms
	RetryMax      time.Duration // default 5 s
	PullDelay     time.Duration // a pull after a heartbeat waits at most 1.25 times this for a push in flight; default 150 ms
	CallTimeout   time.Duration // of one message between nodes; default 2 s
	StartAlone    time.Duration // a node that sees no members waits this long before it reads the log; default 1 s
	StartPeers    time.Duration // a node without configuration waits this long for a peer to have it; default 3 s
	CheckInterval time.Duration // delay of a divergence check, with full jitter; default 2 s

	CheckpointRecords  int64         // records between checkpoints; default 500
	CheckpointInterval time.Duration // age at which a checkpoint is renewed without changes; default a quarter of Retention
	Retention          time.Duration // how long the log keeps records; default 24 h

	PublishTimeout time.Duration // budget of one publish; default 10 s

	KeptEntries    int // latest records kept for peers; default 1024
	KeptBytes      int // of those records; default 4 MiB
	CatchUps       int // pulls served at a time; default 16
	StatesPerSec   int // full states served per second; default 8
	WaitingPulls   int // long polls of other data centres served at a time; default 32
	CatchUpRetryMS int // time until a refused pull is repeated, with full jitter, in ms; default 1000

	Seed uint64 // 0: random
}

func (t Timing) withDefaults() Timing {
	setDefault(&t.Tick, 100*time.Millisecond)
	setDefault(&t.RoleInterval, 500*time.Millisecond)
	setDefault(&t.PollWait, 20*time.Second)
	setDefault(&t.RetryBase, 100*time.Millisecond)
	setDefault(&t.RetryMax, 5*time.Second)
	setDefault(&t.PullDelay, 150*time.Millisecond)
	setDefault(&t.CallTimeout, 2*time.Second)
	setDefault(&t.StartAlone, time.Second)
	setDefault(&t.StartPeers, 3*time.Second)
	setDefault(&t.CheckInterval, 2*time.Second)
	setDefault(&t.CheckpointRecords, 500)
	setDefault(&t.Retention, 24*time.Hour)
	setDefault(&t.CheckpointInterval, t.Retention/4)
	setDefault(&t.PublishTimeout, 10*time.Second)
	setDefault(&t.KeptEntries, 1024)
	setDefault(&t.KeptBytes, 4<<20)
	setDefault(&t.CatchUps, 16)
	setDefault(&t.StatesPerSec, 8)
	setDefault(&t.WaitingPulls, 32)
	setDefault(&t.CatchUpRetryMS, 1000)
	setDefault(&t.Seed, rand.Uint64())
	return t
}

func setDefault[T ~int | ~int64 | ~uint64](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}

// jitter returns a uniform duration in [0, limit).
func jitter(rng *rand.Rand, limit time.Duration) time.Duration {
	if limit <= 0 {
		return 0
	}
	return time.Duration(rng.Int64N(int64(limit)))
}

// backoff returns the delay before try number failures+1, with full jitter.
func (t Timing) backoff(rng *rand.Rand, failures int) time.Duration {
	limit := t.RetryBase << min(failures, 16)
	return jitter(rng, min(limit, t.RetryMax))
}
