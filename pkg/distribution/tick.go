package distribution

import (
	"context"
	"time"
)

// tick refreshes the roles when they are due and starts the actions that the tables call for.
func (d *Distributor) tick(now time.Time) {
	d.refreshRoles(now)
	offset := d.store.current().Offset
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, a := range d.tables.decide(now, offset, d.timing) {
		d.spawn(func(ctx context.Context) { d.perform(ctx, a) })
	}
}

func (d *Distributor) refreshRoles(now time.Time) {
	d.mu.Lock()
	due := !now.Before(d.tables.rolesDue)
	d.mu.Unlock()
	if !due {
		return
	}
	d.assignChangedRoles()
	d.mu.Lock()
	d.tables.rolesDue = now.Add(d.timing.RoleInterval)
	d.mu.Unlock()
	d.tryActivate()
}

// assignChangedRoles computes the roles if the members have changed. Sorting 1,800 members takes milliseconds, too long
// to repeat it at each interval.
func (d *Distributor) assignChangedRoles() {
	version := uint64(0)
	if d.options.MembersVersion != nil {
		version = d.options.MembersVersion() // before the members, so that a change in between is not missed
		d.mu.Lock()
		same := len(d.tables.roles.order) > 0 && d.tables.rolesVersion == version
		d.mu.Unlock()
		if same {
			return
		}
	}
	assigned := assignRoles(d.options.Self, d.options.Members())
	d.mu.Lock()
	d.tables.roles, d.tables.rolesVersion = assigned, version
	d.mu.Unlock()
}

// perform runs one action and books its end.
func (d *Distributor) perform(ctx context.Context, a action) {
	var err error
	interval := time.Duration(0)
	switch a {
	case actStart:
		interval, err = d.startInterval(), d.startStep(ctx)
	case actRead:
		err = d.readLog(ctx)
	case actFar:
		err = d.pullFar(ctx)
	case actPull:
		err = d.pullWanted(ctx)
	case actDivergence:
		err = d.checkDivergence(ctx)
	case actCheckpoint:
		interval, err = d.timing.CheckInterval, d.checkpointStep(ctx)
	}
	if err != nil && ctx.Err() == nil {
		d.count("config_retries", "action", string(a))
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.tables.jobOf(a).done(err, time.Now(), interval, d.rng, d.timing)
}

// startInterval spreads the start steps of nodes that started together.
func (d *Distributor) startInterval() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.timing.RetryBase + jitter(d.rng, 2*d.timing.RetryBase)
}

func (t *tables) jobOf(a action) *job {
	switch a {
	case actStart:
		return &t.start.job
	case actRead:
		return &t.read
	case actFar:
		return &t.far
	case actPull:
		return &t.pull.job
	case actDivergence:
		return &t.divergence.job
	default:
		return &t.checkpoint.job
	}
}

func (d *Distributor) currentRoles() roles {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.tables.roles
}
