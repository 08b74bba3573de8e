package distribution

import (
	"cmp"
	"math/rand/v2"
	"time"
)

// Timing sets intervals, limits and the seed of the random source. Zero fields take the defaults.
type Timing struct {
	Tick                time.Duration // default 100 ms; each tick wakes an idle process
	RoleInterval        time.Duration // how often reader, relay and checkpoint roles are computed; default 500 ms
	PollWait            time.Duration // how long a reader waits for new records in one request; default 20 s
	RetryBase           time.Duration // first backoff of reads and pulls, doubled up to RetryMax, with full jitter; default 100 ms
	RetryMax            time.Duration // default 5 s
	PullDelay           time.Duration // a pull after a heartbeat waits at most 1.25 times this for a push in flight; default 150 ms
	CallTimeout         time.Duration // of one message between nodes; default 2 s
	StartMembersTimeout time.Duration // a node that sees no members waits this long before it reads the log; default 1 s
	StartPeersTimeout   time.Duration // a node without configuration waits this long for a peer to have it; default 3 s
	CheckInterval       time.Duration // delay of a divergence check, with full jitter; default 2 s

	CheckpointRecords  int64         // records between checkpoints; default 500
	CheckpointInterval time.Duration // age at which a checkpoint is renewed without changes; default a quarter of Retention
	Retention          time.Duration // how long the log keeps records; default 24 h

	PublishTimeout time.Duration // budget of one publish; default 10 s

	KeptEntries    int // latest records kept for peers; default 1024
	KeptBytes      int // of those records; default 4 MiB
	MaxCatchUps    int // pulls served at a time; default 16
	StatesPerSec   int // full states served per second; default 8
	MaxLongPolls   int // long polls of other data centres served at a time; default 32
	CatchUpRetryMS int // time until a refused pull is repeated, with full jitter, in ms; default 1000

	Seed uint64 // 0: random
}

func (t Timing) withDefaults() Timing {
	t.Tick = cmp.Or(t.Tick, 100*time.Millisecond)
	t.RoleInterval = cmp.Or(t.RoleInterval, 500*time.Millisecond)
	t.PollWait = cmp.Or(t.PollWait, 20*time.Second)
	t.RetryBase = cmp.Or(t.RetryBase, 100*time.Millisecond)
	t.RetryMax = cmp.Or(t.RetryMax, 5*time.Second)
	t.PullDelay = cmp.Or(t.PullDelay, 150*time.Millisecond)
	t.CallTimeout = cmp.Or(t.CallTimeout, 2*time.Second)
	t.StartMembersTimeout = cmp.Or(t.StartMembersTimeout, time.Second)
	t.StartPeersTimeout = cmp.Or(t.StartPeersTimeout, 3*time.Second)
	t.CheckInterval = cmp.Or(t.CheckInterval, 2*time.Second)
	t.CheckpointRecords = cmp.Or(t.CheckpointRecords, 500)
	t.Retention = cmp.Or(t.Retention, 24*time.Hour)
	t.CheckpointInterval = cmp.Or(t.CheckpointInterval, t.Retention/4)
	t.PublishTimeout = cmp.Or(t.PublishTimeout, 10*time.Second)
	t.KeptEntries = cmp.Or(t.KeptEntries, 1024)
	t.KeptBytes = cmp.Or(t.KeptBytes, 4<<20)
	t.MaxCatchUps = cmp.Or(t.MaxCatchUps, 16)
	t.StatesPerSec = cmp.Or(t.StatesPerSec, 8)
	t.MaxLongPolls = cmp.Or(t.MaxLongPolls, 32)
	t.CatchUpRetryMS = cmp.Or(t.CatchUpRetryMS, 1000)
	t.Seed = cmp.Or(t.Seed, rand.Uint64())
	return t
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
