package distribution

import (
	"context"
	"time"
)

// tick refreshes the roles when they are due and starts the actions that the scheduler decides on.
func (d *Distributor) tick(now time.Time) {
	d.refreshRoles(now)
	offset := d.store.current().Offset
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, a := range d.scheduler.decide(now, offset, d.timing) {
		d.spawn(func(ctx context.Context) { d.runAction(ctx, a) })
	}
}

// refreshRoles updates the roles once per Timing.RoleInterval.
func (d *Distributor) refreshRoles(now time.Time) {
	d.mu.Lock()
	due := !now.Before(d.scheduler.rolesDue)
	d.mu.Unlock()
	if !due {
		return
	}
	d.updateRoles()
	d.mu.Lock()
	d.scheduler.rolesDue = now.Add(d.timing.RoleInterval)
	d.mu.Unlock()
	d.activateIfAllowed()
}

// updateRoles computes the roles if the members have changed. Sorting 1,800 members takes milliseconds, which is too long to
// repeat at each interval.
func (d *Distributor) updateRoles() {
	version := uint64(0)
	if d.options.MembersVersion != nil {
		version = d.options.MembersVersion() // read before Members, so that a change in between is not missed
		d.mu.Lock()
		same := len(d.scheduler.roles.order) > 0 && d.scheduler.rolesVersion == version
		d.mu.Unlock()
		if same {
			return
		}
	}
	assigned := assignRoles(d.options.Self, d.options.Members())
	d.mu.Lock()
	d.scheduler.roles, d.scheduler.rolesVersion = assigned, version
	d.mu.Unlock()
}

// runAction runs one action and schedules its next run.
func (d *Distributor) runAction(ctx context.Context, a action) {
	var err error
	interval := time.Duration(0)
	switch a {
	case actStart:
		interval, err = d.startRetryInterval(), d.startStep(ctx)
	case actRead:
		err = d.readLog(ctx)
	case actRemotePull:
		err = d.pullFromRemoteReader(ctx)
	case actPull:
		err = d.pullToTarget(ctx)
	case actDivergence:
		err = d.checkDivergence(ctx)
	case actCheckpoint:
		interval, err = d.timing.CheckInterval, d.writeCheckpointIfDue(ctx)
	}
	if err != nil && ctx.Err() == nil {
		d.count("config_retries", "action", string(a))
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	finished := time.Now()
	if a == actRead {
		finished = d.scheduler.readStarted // a read that has timed out is not followed by a pause as well
	}
	d.scheduler.jobOf(a).finish(err, finished, interval, d.rng, d.timing)
}

// startRetryInterval returns the interval to the next start step, with jitter, so that nodes that started at the same time
// do not query peers and the log in step.
func (d *Distributor) startRetryInterval() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.timing.RetryBase + jitter(d.rng, 2*d.timing.RetryBase)
}

func (s *scheduler) jobOf(a action) *job {
	switch a {
	case actStart:
		return &s.start.job
	case actRead:
		return &s.read
	case actRemotePull:
		return &s.remotePull
	case actPull:
		return &s.pull.job
	case actDivergence:
		return &s.divergence.job
	default:
		return &s.checkpoint.job
	}
}

func (d *Distributor) currentRoles() roles {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.scheduler.roles
}
