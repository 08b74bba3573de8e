// Package canary shows to clients which configuration version a node runs, without asking the node for it.
//
// The canary route carries a generation number in its path. A client that calls it sees whether a node has the route of
// a generation; publishing generations one after the other makes older versions visible.
package canary

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/laburnumcleat/laburnumcleat/pkg/callctx"
	"github.com/laburnumcleat/laburnumcleat/pkg/config"
	"github.com/laburnumcleat/laburnumcleat/standin/fleet"
)

// Template is the payload of the canary template.
const Template = `{"parameters":[{"name":"generation","type":"integer","required":true},{"name":"service","type":"string","required":true},{"name":"rank","type":"string","required":true}],
	"body":{"routes":[{"name":"canary","methods":["GET"],"path_prefix":"/canary/${generation}/","service":"${service}","rank":"${rank}","timeout_ms":2000,"idempotent":true}]}}`

// RouteName is the name of the canary route in the snapshot.
const RouteName = "canary"

const (
	probeInterval = 40 * time.Millisecond // of each node
	probeTimeout  = 3 * time.Second
)

// TemplateEntity is the entity of Template.
func TemplateEntity() config.Entity { return config.Entity{Kind: config.KindTemplate, Name: RouteName} }

// ParametersEntity is the entity of the parameters of a team.
func ParametersEntity(team string) config.Entity { return config.ParametersEntity(team, RouteName) }

// Parameters returns the payload of a generation. The route goes to the given service with the least urgent rank.
func Parameters(snapshot *config.Snapshot, service string, generation int) []byte {
	rank := snapshot.Ranks[len(snapshot.Ranks)-1].Name
	return fmt.Appendf(nil, `{"values":{"generation":%d,"service":%q,"rank":%q}}`, generation, service, rank)
}

// Result is what a node's answer says about the route of a generation.
type Result int

// The results of a probe.
const (
	Inconclusive Result = iota // no answer, or refused for another reason
	Missing                    // the node has no such route
	Served                     // a backend server answered
	Dangling                   // the node has the route but not its service
)

// Prober calls the canary route of every node and notes when each one first serves a generation.
type Prober struct {
	nodes  []*fleet.Node
	client *http.Client

	mu         sync.Mutex
	acceptedAt map[int]time.Time
	firstSeen  map[int]map[string]time.Time // by generation and node
	older      int                          // a node answered as if it ran an earlier generation than before
	dangling   int
}

// NewProber returns a prober of the given nodes.
func NewProber(nodes []*fleet.Node) *Prober {
	return &Prober{
		nodes:      nodes,
		client:     &http.Client{Timeout: probeTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 2, IdleConnTimeout: callctx.ConnectionIdleTimeout}},
		acceptedAt: make(map[int]time.Time),
		firstSeen:  make(map[int]map[string]time.Time),
	}
}

// Accepted notes when a generation was accepted. Generations above the last noted one plus 1 are not looked for.
func (p *Prober) Accepted(generation int, at time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.acceptedAt[generation] = at
}

// Violations returns how often a node went back to an older generation, and how often one had the route without its
// service.
func (p *Prober) Violations() (older, dangling int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.older, p.dangling
}

// Run probes all nodes until ctx ends.
func (p *Prober) Run(ctx context.Context) {
	var group sync.WaitGroup
	for _, n := range p.nodes {
		group.Go(func() { p.probeNode(ctx, n) })
	}
	group.Wait()
	p.client.CloseIdleConnections()
}

// probeNode asks for the next generation and checks that the current one is still there.
func (p *Prober) probeNode(ctx context.Context, n *fleet.Node) {
	generation := 0
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if p.Probe(ctx, n, generation+1) == Served {
			generation++
			p.note(generation, n.ID)
			continue
		}
		if generation > 0 && p.Probe(ctx, n, generation) != Missing {
			continue
		}
		// The node activated a later generation since the last probe, or it went back.
		later := p.laterGeneration(ctx, n, generation+1)
		if later == 0 && generation == 0 {
			continue // no generation is in force yet
		}
		if later == 0 {
			p.mu.Lock()
			p.older++
			p.mu.Unlock()
			continue
		}
		for generation < later {
			generation++
			p.note(generation, n.ID)
		}
	}
}

// laterGeneration returns the generation from the given one on that the node runs, or 0 if it runs none of them. Probes
// that get no clear answer are repeated.
func (p *Prober) laterGeneration(ctx context.Context, n *fleet.Node, from int) int {
	for ctx.Err() == nil {
		clear := true
		for generation := from; generation <= p.lastAccepted()+1; generation++ {
			switch p.Probe(ctx, n, generation) {
			case Served:
				return generation
			case Inconclusive:
				clear = false
			}
		}
		if clear {
			return 0
		}
	}
	return from // the run ends before the answer is known
}

func (p *Prober) lastAccepted() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	last := 0
	for generation := range p.acceptedAt {
		last = max(last, generation)
	}
	return last
}

// Probe calls the route of a generation on a node.
func (p *Prober) Probe(ctx context.Context, n *fleet.Node, generation int) Result {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("%s/canary/%d/", n.CallURL, generation), nil)
	if err != nil {
		return Inconclusive
	}
	response, err := p.client.Do(request)
	if err != nil {
		return Inconclusive
	}
	response.Body.Close()
	switch {
	case response.Header.Get(callctx.HeaderOutcome) == string(callctx.Answered):
		return Served
	case response.Header.Get(callctx.HeaderReason) == string(callctx.UnknownRoute):
		return Missing
	case response.Header.Get(callctx.HeaderReason) == string(callctx.UnknownService):
		p.mu.Lock()
		p.dangling++
		p.mu.Unlock()
		return Dangling
	default:
		return Inconclusive
	}
}

func (p *Prober) note(generation int, id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.firstSeen[generation] == nil {
		p.firstSeen[generation] = make(map[string]time.Time)
	}
	p.firstSeen[generation][id] = time.Now()
}

// Convergence returns the times in milliseconds from acceptance to the first answer of each node that shows the generation
// or a later one, for generations up to the given one. It fails if a node never got there.
func (p *Prober) Convergence(generations int) ([]float64, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var times []float64
	for generation := 1; generation <= generations; generation++ {
		for _, n := range p.nodes {
			seen, ok := p.firstSeen[generation][n.ID]
			if !ok {
				return nil, eris.Errorf("node %s never served generation %d", n.ID, generation)
			}
			times = append(times, float64(max(seen.Sub(p.acceptedAt[generation]), 0).Microseconds())/1000)
		}
	}
	return times, nil
}
