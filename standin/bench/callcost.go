package bench

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/laburnumcleat/laburnumcleat/pkg/callctx"
	"github.com/laburnumcleat/laburnumcleat/standin/fleet"
	"github.com/laburnumcleat/laburnumcleat/standin/load"
)

const (
	// Calls enter through the nodes of one service and are routed to another one, so that each node handles either only
	// outbound or only inbound calls.
	outboundService = "tracker"
	inboundService  = "dispatch"
	callPath        = "/v1/orders/1" // path of an idempotent route of inboundService without hedging
	callTimeoutMS   = 800
	callServiceMS   = 5
	warmRate        = 200.0 // calls per second; raises the concurrency limits of the inbound nodes, which start low
	warmDuration    = 4 * time.Second
	loadDuration    = 6 * time.Second
	answeredShare   = 0.98 // minimum share of answered calls; below it the CPU time per call is not meaningful
)

// callCosts measures the CPU time of outbound and inbound nodes at three call rates. The slope of the fitted line is the cost
// of a call.
func callCosts(ctx context.Context, o Options) error {
	r, err := startWithBackends(ctx, o)
	if err != nil {
		return err
	}
	defer r.close()
	if _, err := r.sendCalls(ctx, warmRate, warmDuration); err != nil {
		return err
	}
	directions := []struct {
		name  string
		nodes []*fleet.Node
	}{{"outbound", r.nodesOf(outboundService)}, {"inbound", r.nodesOf(inboundService)}}
	rates := make([]float64, 0, 3)
	cpu := make([][]float64, len(directions))
	for _, rate := range []float64{150, 300, 600} {
		before := make([]cost, len(directions))
		for i := range directions {
			if before[i], err = readTotals(directions[i].nodes); err != nil {
				return err
			}
		}
		begin := time.Now()
		share, err := r.sendCalls(ctx, rate, loadDuration)
		if err != nil {
			return err
		}
		seconds := time.Since(begin).Seconds()
		rates = append(rates, rate*loadDuration.Seconds()/seconds)
		for i := range directions {
			after, err := readTotals(directions[i].nodes)
			if err != nil {
				return err
			}
			cpu[i] = append(cpu[i], (after.cpu-before[i].cpu)/seconds)
		}
		fmt.Fprintf(o.Out, "bench=fleet_calls rate=%.0f answered_share=%.4f outbound_cpu_s_per_s=%.4f inbound_cpu_s_per_s=%.4f load1=%s\n",
			rate, share, cpu[0][len(rates)-1], cpu[1][len(rates)-1], loadAverage())
		if share < answeredShare {
			return eris.Errorf("only %.3f of the calls were answered at %.0f calls per second; repeat on an idle machine", share, rate)
		}
	}
	for i, direction := range directions {
		l := fit(rates, cpu[i])
		fmt.Fprintf(o.Out, "bench=fleet_calls_fit side=%s cpu_us_per_call=%.1f idle_cpu_s_per_s=%.4f residual=%.4f\n",
			direction.name, l.slope*1e6, l.intercept, l.residual)
	}
	return nil
}

// startWithBackends starts the Falaj deployment with real backend servers.
func startWithBackends(ctx context.Context, o Options) (*run, error) {
	work := filepath.Join(o.WorkDir, "calls")
	if err := os.MkdirAll(work, 0o755); err != nil {
		return nil, eris.Wrap(err, "creating work directory")
	}
	deployment := fleet.Falaj()
	for i := range deployment.Services {
		deployment.Services[i].ServiceTimeMS = callServiceMS
	}
	started, err := fleet.Start(ctx, fleet.Options{Deployment: deployment, BinDir: o.BinDir, WorkDir: work, LogLevel: "warn"})
	if err != nil {
		return nil, err
	}
	r := &run{options: o, fleet: started, stop: func() {}}
	if err := r.prepare(ctx); err != nil {
		r.close()
		return nil, err
	}
	return r, nil
}

// nodesOf returns the nodes of a service.
func (r *run) nodesOf(service string) []*fleet.Node {
	var nodes []*fleet.Node
	for _, n := range r.fleet.Nodes {
		if n.Service == service {
			nodes = append(nodes, n)
		}
	}
	return nodes
}

// sendCalls sends calls at the given rate per second and returns the share that was answered.
func (r *run) sendCalls(ctx context.Context, rate float64, duration time.Duration) (float64, error) {
	var addresses []string
	for _, n := range r.nodesOf(outboundService) {
		addresses = append(addresses, strings.TrimPrefix(n.CallURL, "http://"))
	}
	records, err := load.Run(ctx, load.Options{
		Nodes: addresses, Seed: uint64(rate),
		Streams: []load.Stream{{
			Name: "order-views", Rank: "arrival", Method: "GET", Path: callPath, Idempotent: true, Rate: rate,
			DurationMS: int(duration.Milliseconds()), TimeoutMS: callTimeoutMS, TargetMS: callTimeoutMS,
		}},
	})
	if err != nil || len(records) == 0 {
		return 0, err
	}
	answered := 0
	for i := range records {
		if records[i].Outcome == callctx.Answered {
			answered++
		}
	}
	return float64(answered) / float64(len(records)), nil
}
