// Package canary detects from the client side which configuration version a node runs, without a request to the node's API.
//
// The path of the canary route contains a generation number. A call shows whether a node has the route of a generation.
// Generations are published one after the other, so that a node that reverts to an older version is detected.
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
	probeInterval = 40 * time.Millisecond // per node
	probeTimeout  = 3 * time.Second
)

// TemplateEntity returns the entity of Template.
func TemplateEntity() config.Entity { return config.Entity{Kind: config.KindTemplate, Name: RouteName} }

// ParametersEntity returns the entity of a team's parameters for Template.
func ParametersEntity(team string) config.Entity { return config.ParametersEntity(team, RouteName) }

// Parameters returns the parameters payload of a generation. Its route leads to the given service and has the least urgent
// rank of the snapshot.
func Parameters(snapshot *config.Snapshot, service string, generation int) []byte {
	rank := snapshot.Ranks[len(snapshot.Ranks)-1].Name
	return fmt.Appendf(nil, `{"values":{"generation":%d,"service":%q,"rank":%q}}`, generation, service, rank)
}

// Result is the result of probing a node for the route of a generation.
type Result int

// The results of a probe.
const (
	Inconclusive Result = iota // no response, or refused for an unrelated reason
	Missing                    // the node has no such route
	Served                     // a backend server answered, so the node has the route
	Dangling                   // the node has the route but not its service
)

// Prober calls the canary route of every node and records when each node first serves a generation.
type Prober struct {
	nodes  []*fleet.Node
	client *http.Client

	mu          sync.Mutex
	acceptedAt  map[int]time.Time
	firstSeen   map[int]map[string]time.Time // by generation and node
	regressions int                          // times that a node no longer served the newest generation it had served
	dangling    int
}

// NewProber returns a prober for the given nodes.
func NewProber(nodes []*fleet.Node) *Prober {
	return &Prober{
		nodes:      nodes,
		client:     &http.Client{Timeout: probeTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 2, IdleConnTimeout: callctx.ConnectionIdleTimeout}},
		acceptedAt: make(map[int]time.Time),
		firstSeen:  make(map[int]map[string]time.Time),
	}
}

// Accepted records when a generation was accepted. The prober looks for generations up to the last accepted one plus 1.
func (p *Prober) Accepted(generation int, at time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.acceptedAt[generation] = at
}

// Violations returns how often a node reverted to an older generation and how often a node had the route but not its
// service.
func (p *Prober) Violations() (regressions, dangling int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.regressions, p.dangling
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

// probeNode probes a node for the next generation and checks that it still serves the current one.
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
			p.recordFirstSeen(generation, n.ID)
			continue
		}
		if generation > 0 && p.Probe(ctx, n, generation) != Missing {
			continue
		}
		// The node has activated a later generation since the last probe, or has reverted to an older one.
		later := p.laterGeneration(ctx, n, generation+1)
		if later == 0 && generation == 0 {
			continue // the node has not activated any generation yet
		}
		if later == 0 {
			p.mu.Lock()
			p.regressions++
			p.mu.Unlock()
			continue
		}
		for generation < later {
			generation++
			p.recordFirstSeen(generation, n.ID)
		}
	}
}

// laterGeneration returns the generation that the node serves, starting with from, or 0 if it serves none from there on. It
// retries until every probe is conclusive. If ctx ends first it returns from, so that no regression is counted.
func (p *Prober) laterGeneration(ctx context.Context, n *fleet.Node, from int) int {
	for ctx.Err() == nil {
		conclusive := true
		for generation := from; generation <= p.lastAccepted()+1; generation++ {
			switch p.Probe(ctx, n, generation) {
			case Served:
				return generation
			case Inconclusive:
				conclusive = false
			}
		}
		if conclusive {
			return 0
		}
	}
	return from
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

// Probe calls the canary route of a generation through a node.
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

func (p *Prober) recordFirstSeen(generation int, id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.firstSeen[generation] == nil {
		p.firstSeen[generation] = make(map[string]time.Time)
	}
	p.firstSeen[generation][id] = time.Now()
}

// Convergence returns, for each node and each generation up to the given one, the time in milliseconds from acceptance to
// the first response that shows the generation or a later one. It returns an error if a node never served a generation.
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
