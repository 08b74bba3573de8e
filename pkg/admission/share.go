package admission

import "time"

// teamShares measures how much of the slot time each team gets, so that among waiting calls of one rank those of a team far above its share go
// behind the others: a surge of one team must not starve small ones.
//
// The share of a team is what it usually gets, and at least an equal part. A team within its share keeps its place in the queue, and the
// calls that go behind are not ahead of it any more, so that it never waits longer than without the rule.
type teamShares struct {
	teams  map[string]*teamUse
	recent decayingSum // slot time of all teams, in seconds
	usual  decayingSum
}

// teamUse is the slot time of one team, in seconds.
type teamUse struct {
	recent, usual decayingSum
}

const (
	// maxTeams bounds the memory. Beyond it, the team with the least slot time lately is forgotten.
	maxTeams = 128
	// recentUseWindow is the averaging time of what a team gets now. Shorter times make a few long calls look like a surge.
	recentUseWindow = 3 * time.Second
	// usualUseWindow is the averaging time of what a team gets usually. It is much longer than a surge.
	usualUseWindow = time.Minute
	// minTeamUse is the recent slot time, in seconds, up to which a team is within its share: that of a few long calls.
	minTeamUse = 1.5
	// activeUse is the recent slot time, in seconds, from which a team counts among those that share the slots.
	activeUse = 0.05
)

// add adds slot time to what a team got.
func (t *teamShares) add(now time.Time, team string, slotTime time.Duration) {
	if team == "" {
		return
	}
	u := t.teams[team]
	if u == nil {
		if t.teams == nil {
			t.teams = make(map[string]*teamUse)
			t.recent.window, t.usual.window = recentUseWindow, usualUseWindow
		}
		if len(t.teams) >= maxTeams {
			t.forgetLeastUsed(now)
		}
		u = &teamUse{recent: decayingSum{window: recentUseWindow}, usual: decayingSum{window: usualUseWindow}}
		t.teams[team] = u
	}
	for _, sum := range []*decayingSum{&u.recent, &u.usual, &t.recent, &t.usual} {
		sum.add(now, slotTime.Seconds())
	}
}

// isOver reports whether a team got more than its share lately, by more than the allowance relative to the share.
func (t *teamShares) isOver(now time.Time, team string, allowance float64) bool {
	u := t.teams[team]
	if team == "" || u == nil {
		return false
	}
	recent, all := u.recent.value(now), t.recent.value(now)
	if recent <= minTeamUse || all <= 0 {
		return false
	}
	share := 1 / float64(max(1, t.active(now)))
	if before := t.usual.value(now) - all; before > activeUse {
		share = max(share, (u.usual.value(now)-recent)/before) // the recent time must not make a surge usual
	}
	return recent > (1+allowance)*share*all
}

// active returns the number of teams that share the slots.
func (t *teamShares) active(now time.Time) int {
	n := 0
	for _, u := range t.teams {
		if u.recent.value(now) >= activeUse {
			n++
		}
	}
	return n
}

func (t *teamShares) forgetLeastUsed(now time.Time) {
	least, leastUse := "", 0.0
	for name, u := range t.teams {
		if use := u.usual.value(now); least == "" || use < leastUse {
			least, leastUse = name, use
		}
	}
	delete(t.teams, least)
}
