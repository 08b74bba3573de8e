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

func (j *job) tryStart(now time.Time) bool {
	if j.running || now.Before(j.due) {
		return false
	}
	j.running = true
	return true
}

// finish ends a run. After a failure the next one is due after a backoff, otherwise after the interval.
func (j *job) finish(err error, now time.Time, interval time.Duration, rng *rand.Rand, timing Timing) {
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

// scheduler is what the tick decides on.
type scheduler struct {
	roles         roles
	rolesDue      time.Time
	rolesVersion  uint64 // Options.MembersVersion for which roles were computed
	maxPeerOffset int64  // highest position that any peer stated; a node not ready waits until it holds it
	maxPeerID     string // id of that peer
	// incarnations that asked for the floor at their start, by member id: earlier ones have ended
	incarnations map[string]uint64
	start        startState
	read         job
	remotePull   job // long polls of other data centres while the log cannot be read
	pull         pullState
	divergence   divergenceState
	checkpoint   checkpointState
	logFailures  int // reads of the log that failed in a row
}

// scheduleFirstRuns sets the first due times of a run.
func (s *scheduler) scheduleFirstRuns(now time.Time, rng *rand.Rand, timing Timing) {
	s.start.startedAt = now
	s.start.job.due = now.Add(jitter(rng, timing.RetryBase))
	s.checkpoint.job.due = now.Add(jitter(rng, timing.CheckInterval))
}

// raisePeerOffset raises the version floor.
func (s *scheduler) raisePeerOffset(offset int64, from string) {
	if offset > s.maxPeerOffset {
		s.maxPeerOffset, s.maxPeerID = offset, from
	}
}

// action is what a tick starts.
type action string

const (
	actStart      action = "start"
	actRead       action = "read"
	actRemotePull action = "far"
	actPull       action = "pull"
	actDivergence action = "divergence"
	actCheckpoint action = "checkpoint"
)

// decide returns the actions that are due and marks them as running. It depends only on its arguments.
func (s *scheduler) decide(now time.Time, offset int64, timing Timing) []action {
	var actions []action
	if !s.start.ready && s.start.job.tryStart(now) {
		actions = append(actions, actStart)
	}
	reads := s.roles.isReader() && s.start.peersQueried
	if reads && s.read.tryStart(now) {
		actions = append(actions, actRead)
	}
	if reads && s.logFailures > 0 && len(s.roles.remoteReaders) > 0 && s.remotePull.tryStart(now) {
		actions = append(actions, actRemotePull)
	}
	if s.pull.target > offset && s.pull.job.tryStart(now) {
		actions = append(actions, actPull)
	}
	if s.divergence.offset != 0 && s.divergence.job.tryStart(now) {
		actions = append(actions, actDivergence)
	}
	if s.start.ready && s.checkpoint.isDue(s.roles.writerRank, offset, now, timing) && s.checkpoint.job.tryStart(now) {
		actions = append(actions, actCheckpoint)
	}
	return actions
}
