package distribution

import (
	"errors"
	"math/rand/v2"
	"time"
)

// job schedules work of which at most one run is active and which is retried with backoff after a failure.
type job struct {
	running  bool
	due      time.Time
	failures int
}

// tryStart marks the job as running and reports true if it is due and not already running.
func (j *job) tryStart(now time.Time) bool {
	if j.running || now.Before(j.due) {
		return false
	}
	j.running = true
	return true
}

// finish ends a run. The next run is due after the interval if err is nil, after the retry delay of the peer if a peer refused
// the request, and after a backoff otherwise.
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

// scheduler holds the state from which each tick decides which actions to start. It is guarded by Distributor.mu.
type scheduler struct {
	roles         roles
	rolesDue      time.Time
	rolesVersion  uint64 // Options.MembersVersion for which roles were computed
	maxPeerOffset int64  // highest offset that any peer reported; a node becomes ready only at or above it
	maxPeerID     string // id of the peer that reported it
	// incarnations holds, by member id, the highest incarnation that queried the floor. Earlier incarnations have ended.
	incarnations map[string]uint64
	start        startState
	read         job // long polls of the log by a reader
	remotePull   job // long polls of readers of other data centres while the log cannot be read
	pull         pullState
	divergence   divergenceState
	checkpoint   checkpointState
	readStarted  time.Time // start of the latest read of the log by a reader
	logFailures  int       // consecutive failed reads of the log
}

// scheduleFirstRuns sets the first due times of a run.
func (s *scheduler) scheduleFirstRuns(now time.Time, rng *rand.Rand, timing Timing) {
	s.start.startedAt = now
	s.start.job.due = now.Add(jitter(rng, timing.RetryBase))
	s.checkpoint.job.due = now.Add(jitter(rng, timing.CheckInterval))
}

// raisePeerOffset raises the version floor to an offset reported by a peer.
func (s *scheduler) raisePeerOffset(offset int64, from string) {
	if offset > s.maxPeerOffset {
		s.maxPeerOffset, s.maxPeerID = offset, from
	}
}

// action is work that a tick starts. It is a label of counters.
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
