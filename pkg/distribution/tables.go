package distribution

import (
	"errors"
	"math/rand/v2"
	"time"
)

// job is work that runs at most once at a time and is repeated with backoff when it fails.
type job struct {
	running  bool
	due      time.Time
	failures int
}

func (j *job) start(now time.Time) bool {
	if j.running || now.Before(j.due) {
		return false
	}
	j.running = true
	return true
}

// done ends a run. After a failure the next one is due after a backoff, otherwise after the interval.
func (j *job) done(err error, now time.Time, interval time.Duration, rng *rand.Rand, timing Timing) {
	j.running = false
	if err == nil {
		j.failures = 0
		j.due = now.Add(interval)
		return
	}
	var refused *retryAfterError
	if errors.As(err, &refused) {
		j.due = now.Add(jitter(rng, refused.delay))
		return
	}
	j.due = now.Add(timing.backoff(rng, j.failures))
	j.failures++
}

// tables is what the tick decides on.
type tables struct {
	roles        roles
	rolesDue     time.Time
	rolesVersion uint64 // Options.MembersVersion for which roles were computed
	heard        int64  // highest position that any peer stated; a node not ready waits until it holds it
	heardFrom    string // id of that peer
	// incarnations that asked for the floor at their start, by member id: earlier ones have ended
	incarnations map[string]uint64
	start        startTable
	read         job
	far          job // long polls of other data centres while the log cannot be read
	pull         pullTable
	divergence   divergenceTable
	checkpoint   checkpointTable
	logFailures  int // reads of the log that failed in a row
}

// begin sets the first due times of a run.
func (t *tables) begin(now time.Time, rng *rand.Rand, timing Timing) {
	t.start.began = now
	t.start.job.due = now.Add(jitter(rng, timing.RetryBase))
	t.checkpoint.job.due = now.Add(jitter(rng, timing.CheckInterval))
}

// hear raises the version floor.
func (t *tables) hear(offset int64, from string) {
	if offset > t.heard {
		t.heard, t.heardFrom = offset, from
	}
}

// action is what a tick starts.
type action string

const (
	actStart      action = "start"
	actRead       action = "read"
	actFar        action = "far"
	actPull       action = "pull"
	actDivergence action = "divergence"
	actCheckpoint action = "checkpoint"
)

// decide returns the actions that are due and marks them as running. It depends only on its arguments.
func (t *tables) decide(now time.Time, offset int64, timing Timing) []action {
	var actions []action
	if !t.start.ready && t.start.job.start(now) {
		actions = append(actions, actStart)
	}
	reads := t.roles.isReader() && t.start.asked
	if reads && t.read.start(now) {
		actions = append(actions, actRead)
	}
	if reads && t.logFailures > 0 && len(t.roles.farReaders) > 0 && t.far.start(now) {
		actions = append(actions, actFar)
	}
	if t.pull.target > offset && t.pull.job.start(now) {
		actions = append(actions, actPull)
	}
	if t.divergence.offset != 0 && t.divergence.job.start(now) {
		actions = append(actions, actDivergence)
	}
	if t.start.ready && t.checkpoint.dueFor(t.roles.writerRank, offset, now, timing) && t.checkpoint.job.start(now) {
		actions = append(actions, actCheckpoint)
	}
	return actions
}
