package demo

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

// The canary route carries a generation number in its path. A client that calls it sees which version a node runs,
// without asking the node for it.
const (
	canaryTemplate = `{"parameters":[{"name":"generation","type":"integer","required":true},{"name":"service","type":"string","required":true},{"name":"rank","type":"string","required":true}],
		"body":{"routes":[{"name":"canary","methods":["GET"],"path_prefix":"/canary/${generation}/","service":"${service}","rank":"${rank}","timeout_ms":2000,"idempotent":true}]}}`
	canaryName    = "canary"
	canaryTeam    = "demo"
	probeInterval = 40 * time.Millisecond // of each node
	probeTimeout  = 3 * time.Second
)

func (r *run) publishCanary(ctx context.Context) error {
	return r.change(ctx, "publish", config.Entity{Kind: config.KindTemplate, Name: canaryName}, []byte(canaryTemplate))
}

// amendCanary publishes generation 1 and amends to later ones.
func (r *run) amendCanary(ctx context.Context, generation int) error {
	snapshot, err := r.fleet.Nodes[1].Client().Snapshot(ctx)
	if err != nil {
		return err
	}
	d := r.options.Deployment
	service := d.Services[len(d.Services)-1].Name
	rank := snapshot.Ranks[len(snapshot.Ranks)-1].Name
	content := fmt.Appendf(nil, `{"values":{"generation":%d,"service":%q,"rank":%q}}`, generation, service, rank)
	verb := "amend"
	if generation == 1 {
		verb = "publish"
	}
	if err := r.change(ctx, verb, config.ParametersEntity(canaryTeam, canaryName), content); err != nil {
		return err
	}
	r.prober.accepted(generation, time.Now())
	return nil
}

// prober calls the canary route of every node and notes when each one first serves a generation.
type prober struct {
	fleet  *fleet.Fleet
	client *http.Client

	mu         sync.Mutex
	acceptedAt map[int]time.Time
	firstSeen  map[int]map[string]time.Time // by generation and node
	older      int                          // a node answered as if it ran an earlier generation than before
	dangling   int                          // a node had the route but not its service
}

func newProber(f *fleet.Fleet) *prober {
	return &prober{
		fleet:      f,
		client:     &http.Client{Timeout: probeTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 2, IdleConnTimeout: callctx.ConnectionIdleTimeout}},
		acceptedAt: make(map[int]time.Time),
		firstSeen:  make(map[int]map[string]time.Time),
	}
}

func (p *prober) accepted(generation int, at time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.acceptedAt[generation] = at
}

func (p *prober) run(ctx context.Context) {
	var group sync.WaitGroup
	for _, n := range p.fleet.Nodes {
		group.Go(func() { p.probeNode(ctx, n) })
	}
	group.Wait()
	p.client.CloseIdleConnections()
}

// probeNode asks for the next generation and checks that the current one is still there.
func (p *prober) probeNode(ctx context.Context, n *fleet.Node) {
	generation := 0
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		served := p.probe(ctx, n, generation+1)
		if served == routeServed {
			generation++
			p.note(generation, n.ID)
			continue
		}
		// The answer for the next generation came first, so a missing current generation cannot be explained by an
		// activation in between, unless the next one is there by now.
		if generation > 0 && p.probe(ctx, n, generation) == routeMissing && p.probe(ctx, n, generation+1) == routeMissing {
			p.mu.Lock()
			p.older++
			p.mu.Unlock()
		}
	}
}

type probeResult int

const (
	routeUnclear probeResult = iota // no answer, or refused for another reason
	routeMissing
	routeServed
)

func (p *prober) probe(ctx context.Context, n *fleet.Node, generation int) probeResult {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("%s/canary/%d/", n.CallURL, generation), nil)
	if err != nil {
		return routeUnclear
	}
	response, err := p.client.Do(request)
	if err != nil {
		return routeUnclear
	}
	response.Body.Close()
	switch {
	case response.Header.Get(callctx.HeaderOutcome) == string(callctx.Answered):
		return routeServed
	case response.Header.Get(callctx.HeaderReason) == string(callctx.UnknownRoute):
		return routeMissing
	case response.Header.Get(callctx.HeaderReason) == string(callctx.UnknownService):
		p.mu.Lock()
		p.dangling++
		p.mu.Unlock()
	}
	return routeUnclear
}

func (p *prober) note(generation int, id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.firstSeen[generation] == nil {
		p.firstSeen[generation] = make(map[string]time.Time)
	}
	p.firstSeen[generation][id] = time.Now()
}

// convergence returns the times from acceptance to the first answer of each node, in milliseconds, for the generations that were
// published while all nodes ran. It fails if a node that ran has missed one.
func (p *prober) convergence(generations int) ([]float64, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var times []float64
	for generation := 1; generation <= generations; generation++ {
		for _, n := range p.fleet.Nodes {
			seen, ok := p.firstSeen[generation][n.ID]
			if !ok {
				return nil, eris.Errorf("node %s never served generation %d", n.ID, generation)
			}
			times = append(times, float64(max(seen.Sub(p.acceptedAt[generation]), 0).Microseconds())/1000)
		}
	}
	return times, nil
}
