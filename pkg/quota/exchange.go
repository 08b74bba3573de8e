package quota

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Relation is the place of another node in the tree, as seen from this one.
type Relation int

// The relations.
const (
	Child  Relation = iota // reports to this node
	Parent                 // this node reports to it
	Peer                   // both are the first nodes of their data centres
)

const (
	// minorChange is the part of a limit by which counts may change before they are reported again; farChange that while the team is far from it.
	minorChange = 0.02
	farChange   = 0.2
	// demandWeight is the weight of demand in the shares of the parts of a tree; the rest goes by the number of nodes, since demand moves.
	demandWeight = 0.5
)

// Report holds the counts of a part of the tree. Teams without a change are left out.
type Report struct {
	From   string       `json:"from"`
	Nodes  int          `json:"nodes"`          // in the part
	NextMS int64        `json:"next"`           // time until the next report
	Phase  int64        `json:"phase"`          // ms since the newest bucket began
	Full   bool         `json:"full,omitempty"` // teams that are not listed have no counts
	Seq    uint64       `json:"seq"`            // of the report, among those to the same receiver
	Seen   uint64       `json:"seen,omitempty"` // sequence number of the latest report that the sender has received
	Teams  []TeamReport `json:"teams,omitempty"`
}

// TeamReport holds the counts of one team, by bucket, newest first.
type TeamReport struct {
	Team     string    `json:"t"`
	Admitted []float64 `json:"a,omitempty"`
	Refused  []float64 `json:"r,omitempty"`
	Extra    float64   `json:"x,omitempty"` // estimated beyond what was counted, and set aside for parts out of touch
}

// source is another part of the tree.
type source struct {
	id       string
	relation Relation
	heard    time.Duration
	due      time.Duration // of the next report; later, the part is out of touch
	nodes    int
	teams    map[string]*figures
	seen     uint64              // sequence number of its latest report
	seq      uint64              // of the latest report to it
	sent     map[string]*figures // that it has; nil: unknown
}

// figures are the counts that a source has reported of a team, or that were reported to it.
type figures struct {
	admitted history
	refused  history
	extra    float64
	share    float64 // of the limit, while the source is out of touch
}

func (f *figures) advance(sequence int64) {
	f.admitted.advance(sequence)
	f.refused.advance(sequence)
}

// rate returns the number of requests that are admitted in a bucket. Of a surge, it holds what is certain.
func (f *figures) rate() float64 {
	latest := f.admitted.latest(recent)
	return max(0, f.admitted.sum/buckets, (latest-2*math.Sqrt(max(0, latest)))/(recent+1))
}

func (f *figures) asked() float64 { return f.admitted.sum + f.refused.sum }

func (s *source) isSilent(now time.Duration) bool { return now > s.due }

// late returns the number of buckets for which the counts of a source are extrapolated: until it is out of touch, and then keeps to its share.
func (l *Ledger) late(now time.Duration, s *source) float64 {
	return min(buckets, max(0, float64(min(now, s.due)-s.heard)/float64(l.clock.bucket)))
}

// estimate is what parts of the tree are taken to use in the window.
type estimate struct {
	used  float64 // as reported and extrapolated
	aside float64 // at least, by the time since their reports
}

// total compares the sums: of many parts with a fraction of a request each, those that report none make up for those that report one.
func (e estimate) total() float64 { return max(e.used, e.aside) }

// add adds what a source is taken to use.
func (l *Ledger) add(e *estimate, now time.Duration, s *source, f *figures, target float64) {
	f.advance(l.clock.sequence(now))
	used, aside := f.admitted.sum+f.extra+f.rate()*l.late(now, s), l.setAside(now, s)*f.share*target
	if s.isSilent(now) {
		used = max(used, aside)
		aside = used
	}
	e.used += used
	e.aside += aside
}

// setAside returns the part of a source's share that it is taken to have used at least. It grows with the time since its latest report: a part
// that is cut off just when demand surges uses its share before it counts as out of touch.
func (l *Ledger) setAside(now time.Duration, s *source) float64 {
	switch {
	case s.isSilent(now):
		return 1
	case s.relation == Parent:
		return 0
	}
	return float64(now-s.heard) / float64(l.options.Timing.Rest+l.options.Timing.Grace)
}

// viewOf returns what is known of other nodes.
func (l *Ledger) viewOf(now time.Duration, name string, t *team) *view {
	if t.view.valid && now-t.view.at < viewAge {
		return &t.view
	}
	v := view{at: now, valid: true, equal: l.nodeShare(1), alone: true}
	target := l.options.Bound.target(t.limit)
	var others estimate
	for _, s := range l.sources {
		v.alone = v.alone && s.isSilent(now)
		if !l.counts(now, s) {
			continue
		}
		f, ok := s.teams[name]
		if !ok {
			v.used += l.unknown(now, s, target)
			continue
		}
		l.add(&others, now, s, f, target)
		v.total += f.asked()
		if !s.isSilent(now) {
			v.ending += f.admitted.ending(planned)
			v.asked += f.asked()
			v.surge += f.admitted.latest(recent) + f.refused.latest(recent)
			v.recent += f.admitted.latest(recent) + f.rate()*l.late(now, s)
		}
	}
	v.used += others.total() + target*l.nodeShare(l.missing(now))
	t.view = v
	return &t.view
}

// unknown returns what a source is taken to use of a team's limit that it has reported no requests of.
func (l *Ledger) unknown(now time.Duration, s *source, target float64) float64 {
	if !s.isSilent(now) {
		return 0
	}
	return target * l.nodeShare(s.nodes) * (1 - demandWeight)
}

// missing returns the number of nodes that no part of the tree counts. An equal share of the limit is set aside for each.
func (l *Ledger) missing(now time.Duration) int {
	missing := l.options.Nodes() - 1
	for _, s := range l.sources {
		if l.counts(now, s) {
			missing -= s.nodes
		}
	}
	return max(0, missing)
}

func (l *Ledger) nodeShare(nodes int) float64 {
	return min(1, float64(nodes)/float64(max(1, l.options.Nodes())))
}

// Leave returns the report that makes its receiver forget this node.
func (l *Ledger) Leave(self string) Report { return Report{From: self} }

// Report returns what another node does not know yet. next is the time until the next report to it.
func (l *Ledger) Report(now time.Duration, self, to string, relation Relation, next time.Duration) Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	target := l.source(to, relation)
	target.seq++
	r := Report{From: self, Nodes: 1, NextMS: next.Milliseconds(), Phase: l.clock.phase(now).Milliseconds(), Full: target.sent == nil, Seq: target.seq, Seen: target.seen}
	if r.Full {
		target.sent = make(map[string]*figures)
	}
	if relation == Peer && l.hasParent(now) {
		r.Nodes = 0
		return r // the first node of this data centre counts this node
	}
	var parts []*source
	for _, s := range l.sources {
		if s.id != to && (s.relation == Child || relation == Child && l.counts(now, s)) {
			parts = append(parts, s)
			r.Nodes += s.nodes
		}
	}
	missing := 0
	if relation == Child {
		missing = l.missing(now)
		r.Nodes += missing
	}
	for name, t := range l.teams {
		if report, ok := l.reportTeam(now, name, t, parts, r.Nodes, missing, target); ok {
			r.Teams = append(r.Teams, report)
		}
		if relation != Child {
			t.reported = t.since
		}
	}
	return r
}

// hasParent reports whether a parent is in touch.
func (l *Ledger) hasParent(now time.Duration) bool {
	for _, s := range l.sources {
		if s.relation == Parent && !s.isSilent(now) {
			return true
		}
	}
	return false
}

// counts reports whether the counts of a source are to be added: a parent has counted peers already.
func (l *Ledger) counts(now time.Duration, s *source) bool {
	return s.relation != Peer || !l.hasParent(now)
}

// reportTeam returns the counts of a team in some parts of the tree, and whether the receiver needs them.
func (l *Ledger) reportTeam(now time.Duration, name string, t *team, parts []*source, nodes, missing int, to *source) (TeamReport, bool) {
	sequence := l.clock.sequence(now)
	t.advance(sequence)
	limit := l.options.Bound.target(t.limit)
	f := figures{admitted: t.admitted, refused: t.refused, extra: limit*l.nodeShare(missing) + l.before(now, t)}
	var others estimate
	for _, s := range parts {
		g, ok := s.teams[name]
		if !ok {
			f.extra += l.unknown(now, s, limit)
			continue
		}
		l.add(&others, now, s, g, limit)
		if !s.isSilent(now) {
			f.admitted.merge(&g.admitted)
			f.refused.merge(&g.refused)
		}
	}
	f.extra += others.total() - (f.admitted.sum - t.admitted.sum)
	before, ok := to.sent[name]
	if !ok {
		before = &figures{admitted: history{newest: sequence}, refused: history{newest: sequence}}
	}
	before.advance(sequence)
	change := limit * farChange
	if l.isNear(t, f.admitted.sum+f.extra, f.asked()) {
		change = limit * minorChange
	}
	change = max(0.5, change*l.nodeShare(nodes))
	if math.Abs(f.admitted.sum+f.extra-before.admitted.sum-before.extra) < change && math.Abs(f.asked()-before.asked()) < change {
		return TeamReport{}, false
	}
	to.sent[name] = &f
	return TeamReport{Team: name, Admitted: f.admitted.byAge(), Refused: f.refused.byAge(), Extra: rounded(f.extra)}, true
}

// source returns the state of another node.
func (l *Ledger) source(id string, relation Relation) *source {
	s := l.find(id)
	if s == nil {
		s = &source{id: id, teams: make(map[string]*figures), due: -1}
		l.sources = append(l.sources, s)
	}
	if s.relation != relation {
		// Counts from before are those of another part of the tree.
		*s = source{id: id, relation: relation, teams: make(map[string]*figures), due: -1, seq: s.seq}
	}
	return s
}

// find returns the state of another node, or nil.
func (l *Ledger) find(id string) *source {
	for _, s := range l.sources {
		if s.id == id {
			return s
		}
	}
	return nil
}

// Merge takes in a report of another node.
func (l *Ledger) Merge(now time.Duration, r Report, relation Relation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.Nodes == 0 && relation == Child {
		l.sources = slices.DeleteFunc(l.sources, func(s *source) bool { return s.id == r.From && s.relation == Child })
		l.dropViews()
		return
	}
	s := l.source(r.From, relation)
	if r.Seen != s.seq {
		s.sent = nil // it has missed the latest report, or is another process
	}
	if r.Full {
		clear(s.teams)
	}
	if r.Full || s.seen > 0 {
		s.seen = r.Seq // otherwise this process has missed earlier ones, and the sender learns it from the next report
	}
	next := time.Duration(r.NextMS) * time.Millisecond
	s.heard, s.due, s.nodes = now, now+next+l.options.Timing.Grace, r.Nodes
	for _, tr := range r.Teams {
		if _, ok := l.teams[tr.Team]; !ok {
			continue // the sender has another version of the configuration
		}
		s.teams[tr.Team] = l.figuresOf(now, &tr, time.Duration(r.Phase)*time.Millisecond)
	}
	for name, t := range l.teams {
		t.view.valid = false
		if relation != Child {
			t.since, t.reported = max(0, t.since-t.reported), 0
		}
		if f, ok := s.teams[name]; ok {
			f.share = l.shareOf(name, t, s, f)
		}
	}
}

// figuresOf decodes the counts of a team.
func (l *Ledger) figuresOf(now time.Duration, r *TeamReport, phase time.Duration) *figures {
	f := &figures{admitted: l.historyOf(now, r.Admitted, phase), refused: l.historyOf(now, r.Refused, phase), extra: r.Extra}
	return f
}

// historyOf decodes counts. A bucket of the sender goes into the bucket in which its last event can have been, so that no event leaves the
// window too early.
func (l *Ledger) historyOf(now time.Duration, counts []float64, phase time.Duration) history {
	h := history{newest: l.clock.sequence(now)}
	for age, n := range counts {
		end := now
		if age > 0 {
			end -= phase + time.Duration(age-1)*l.clock.bucket
		}
		h.add(l.clock.sequence(end), n)
	}
	return h
}

// shareOf returns the share of the limit that a part of the tree has while it is out of touch. The recent buckets are left out: of a surge, each
// part knows its own requests earlier than those of others.
func (l *Ledger) shareOf(name string, t *team, s *source, f *figures) float64 {
	asked := earlier(&t.admitted, &t.refused)
	for _, other := range l.sources {
		if g, ok := other.teams[name]; ok {
			asked += earlier(&g.admitted, &g.refused)
		}
	}
	return mixedShare(earlier(&f.admitted, &f.refused), asked, l.nodeShare(s.nodes))
}

// earlier returns the number of requests in the window before the recent buckets.
func earlier(admitted, refused *history) float64 {
	return max(0, admitted.sum+refused.sum-admitted.latest(recent)-refused.latest(recent))
}

// mixedShare returns the share of a part of the tree in the demand, where equal is that by the number of its nodes.
func mixedShare(asked, total, equal float64) float64 {
	if total == 0 {
		return equal
	}
	return demandWeight*asked/total + (1-demandWeight)*equal
}

// Lost notes that another node did not respond: it is out of touch.
func (l *Ledger) Lost(now time.Duration, id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := l.find(id); s != nil {
		s.due, s.sent = min(s.due, now-1), nil
		l.dropViews()
	}
}

// Retain drops sources that are not needed any more: parents other than the given nodes once one of these is in touch, other peers that are
// out of touch, and children without a report for a window: their nodes report elsewhere, or count as missing.
func (l *Ledger) Retain(now time.Duration, uppers map[string]Relation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	isReplaced := len(uppers) == 0
	for id := range uppers {
		s := l.find(id)
		isReplaced = isReplaced || s != nil && s.heard > 0 && !s.isSilent(now)
	}
	before := len(l.sources)
	l.sources = slices.DeleteFunc(l.sources, func(s *source) bool {
		if _, ok := uppers[s.id]; ok {
			return false
		}
		switch s.relation {
		case Child:
			return now > s.due+l.options.Bound.Window
		case Parent:
			return isReplaced
		}
		return s.isSilent(now)
	})
	if len(l.sources) < before {
		l.dropViews()
	}
}

func (l *Ledger) dropViews() {
	for _, t := range l.teams {
		t.view.valid = false
	}
}

// Interval returns the time between exchanges, and starts a new period in which teams may come near their limits.
func (l *Ledger) Interval(now time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.teams) == 0 {
		return 0
	}
	l.learnBaselines(now)
	near := l.near
	l.near = false
	if near || l.isCollector() && l.isAnyNear(now) {
		return l.options.Timing.Near
	}
	return l.options.Timing.Rest
}

// isCollector reports whether other nodes learn from this one.
func (l *Ledger) isCollector() bool {
	for _, s := range l.sources {
		if s.relation != Parent {
			return true
		}
	}
	return false
}

// heard returns when the latest report of a node arrived.
func (l *Ledger) heard(id string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := l.find(id); s != nil {
		return s.heard
	}
	return 0
}

func (l *Ledger) isAnyNear(now time.Duration) bool {
	for name, t := range l.teams {
		t.advance(l.clock.sequence(now))
		v := l.viewOf(now, name, t)
		if own, _ := l.own(now, t); l.isNear(t, own+v.used, t.demand(v)) {
			return true
		}
	}
	return false
}

func highest(all []Usage, n int) []Usage {
	slices.SortFunc(all, func(a, b Usage) int {
		return cmp.Or(cmp.Compare(b.Used/max(1, b.Allowed), a.Used/max(1, a.Allowed)), cmp.Compare(a.Team, b.Team))
	})
	return all[:min(n, len(all))]
}
