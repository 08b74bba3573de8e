package distribution

import (
	"cmp"
	"math/rand/v2"
	"time"
)

// Timing configures intervals, limits and the seed of the random source. Zero fields are set to their defaults.
type Timing struct {
	Tick                time.Duration // default 100 ms; each tick wakes an idle process
	RoleInterval        time.Duration // interval at which reader, relay and checkpoint roles are computed; default 500 ms
	PollWait            time.Duration // wait of one long poll of a reader; default 5 s, since a silently dropped poll delays a change by this and the timeout of the log's client
	RetryBase           time.Duration // initial backoff of failed actions, doubled per failure up to RetryMax, with full jitter; default 100 ms
	RetryMax            time.Duration // default 5 s
	PullDelay           time.Duration // delay of a pull after a heartbeat, at most 1.25 times this, so that a push in flight can arrive; default 150 ms
	CallTimeout         time.Duration // timeout of one call between nodes; default 2 s
	StartMembersTimeout time.Duration // a starting node that knows no other members waits this long before it reads the log; default 1 s
	StartPeersTimeout   time.Duration // a starting node without configuration waits this long for a ready peer before it reads the log; default 3 s
	CheckInterval       time.Duration // maximum delay of a divergence check, with full jitter, and interval of checkpoint checks; default 2 s

	CheckpointRecords  int64         // records between checkpoints; default 500
	CheckpointInterval time.Duration // age at which a checkpoint is rewritten even without changes; default a quarter of Retention
	Retention          time.Duration // retention period of the log; default 24 h

	PublishTimeout time.Duration // timeout of one publish, including retries; default 10 s

	KeptEntries    int // number of latest records kept to serve peers; default 1024
	KeptBytes      int // total size of those records; default 4 MiB
	MaxCatchUps    int // concurrent pulls served, other than long polls; default 16
	StatesPerSec   int // full states served per second; default 8
	MaxLongPolls   int // concurrent long polls served; default 32
	CatchUpRetryMS int // retry delay of a refused pull in ms, with full jitter at the caller; default 1000

	Seed uint64 // 0: random
}

func (t Timing) withDefaults() Timing {
	t.Tick = cmp.Or(t.Tick, 100*time.Millisecond)
	t.RoleInterval = cmp.Or(t.RoleInterval, 500*time.Millisecond)
	t.PollWait = cmp.Or(t.PollWait, 5*time.Second)
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

// jitter returns a uniformly distributed duration in [0, limit), or 0 if limit is not positive.
func jitter(rng *rand.Rand, limit time.Duration) time.Duration {
	if limit <= 0 {
		return 0
	}
	return time.Duration(rng.Int64N(int64(limit)))
}

// backoff returns the delay before the next attempt after the given number of earlier failures, with full jitter.
func (t Timing) backoff(rng *rand.Rand, failures int) time.Duration {
	limit := t.RetryBase << min(failures, 16)
	return jitter(rng, min(limit, t.RetryMax))
}
