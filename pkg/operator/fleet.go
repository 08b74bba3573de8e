package operator

import (
	"context"
	"sort"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/laburnumcleat/laburnumcleat/pkg/apierror"
)

// Bounds of one status request that probes. A fleet of 1,800 nodes is covered by repeated requests: a node that has
// been seen at a position is not asked for it again.
const (
	maxLagging      = 20 // ids named in a status answer
	probesAtOnce    = 32
	probesInRequest = 256
	probeTime       = time.Second
)

const statusAlive = "alive"

// incarnationID names one process.
type incarnationID struct {
	id          string
	incarnation uint64
}

// positions remembers the highest log position seen of each live member. Positions never decrease within an
// incarnation.
type positions struct {
	mu   sync.Mutex
	seen map[incarnationID]int64
}

// merge takes the positions of heartbeats over and forgets processes that are gone. It returns the members that are not
// known to have reached the wanted position.
func (p *positions) merge(members []Member, wanted int64) (behind []Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := make(map[incarnationID]int64, len(members))
	for _, m := range members {
		if m.Status != statusAlive {
			continue
		}
		key := incarnationID{m.ID, m.Incarnation}
		kept[key] = max(p.seen[key], m.Version)
		if kept[key] < wanted {
			behind = append(behind, m)
		}
	}
	p.seen = kept
	return behind
}

func (p *positions) raise(m Member, position int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	key := incarnationID{m.ID, m.Incarnation}
	if known, ok := p.seen[key]; ok && position > known {
		p.seen[key] = position
	}
}

// fleet counts the members at the wanted position. With probe, members that are not known to be there are asked.
func (s *server) fleet(ctx context.Context, members []Member, wanted int64, probe bool) (Fleet, []string) {
	behind := s.positions.merge(members, wanted)
	if probe && s.Prober != nil && len(behind) > 0 {
		s.probe(ctx, behind)
		behind = s.positions.merge(members, wanted)
	}
	fleet := Fleet{Wanted: wanted}
	for _, m := range members {
		switch m.Status {
		case statusAlive:
			fleet.Alive++
		case "suspect":
			fleet.Suspect++
		case "dead":
			fleet.Dead++
		}
	}
	fleet.Reached = fleet.Alive - len(behind)
	lagging := make([]string, 0, len(behind))
	for _, m := range behind {
		lagging = append(lagging, m.ID)
	}
	sort.Strings(lagging)
	return fleet, lagging[:min(len(lagging), maxLagging)]
}

// probe asks members for their positions. A member that does not answer stays as it is known.
func (s *server) probe(ctx context.Context, members []Member) {
	ctx, cancel := context.WithTimeout(ctx, probeTime)
	defer cancel()
	var group errgroup.Group
	group.SetLimit(probesAtOnce)
	for _, m := range members[:min(len(members), probesInRequest)] {
		group.Go(func() error {
			position, err := s.Prober.Position(ctx, m)
			if err != nil {
				s.Metrics.Inc("operator_probe_failures", "kind", string(apierror.KindOf(err)))
				return nil
			}
			s.positions.raise(m, position)
			return nil
		})
	}
	_ = group.Wait() // the functions return no error
}
