package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"github.com/laburnumcleat/laburnumcleat/pkg/config"
	"github.com/laburnumcleat/laburnumcleat/standin/fleet"
	"github.com/laburnumcleat/laburnumcleat/standin/load"
)

const (
	callsSeed = 71

	// latencyServiceMS is short, so that the fleet stays lightly loaded at a rate that suffices for a 99th percentile.
	latencyServiceMS = 1
	latencyRate      = 200.0 // calls per second, through the nodes and directly at the same time
	latencyDuration  = 10 * time.Second

	// surgeServiceMS is long, so that the machine can generate, reject and serve calls at four times the capacity of a
	// service while most of its CPU time is idle.
	surgeServiceMS = 100
	surgeDuration  = 6 * time.Second
	surgeWarmUp    = 2 * time.Second // excluded from the slot utilisation
	surgePause     = time.Second     // lets queues drain between two cases
	coldStart      = 3 * time.Second // warm-up time of a backend server
)

// callBench is one deployment under measurement.
type callBench struct {
	options    Options
	fleet      *fleet.Fleet
	deployment fleet.Deployment
	snapshot   *config.Snapshot
}

// Calls measures the latency added by the nodes and the goodput under surges for both example deployments. The baselines are
// direct calls, direct round robin to backend servers with FIFO queues, and minimum shares of 0 (strict priority).
func Calls(ctx context.Context, o Options) error {
	parts := []struct {
		name      string
		serviceMS int
		measure   func(*callBench, context.Context) error
	}{{"latency", latencyServiceMS, (*callBench).measureLatency}, {"surges", surgeServiceMS, (*callBench).runSurges}}
	for _, d := range []fleet.Deployment{fleet.Falaj(), fleet.VanDerMerwe()} {
		for _, part := range parts {
			if o.Deployment != "" && o.Deployment != d.Name || o.Part != "" && o.Part != part.name {
				continue
			}
			if err := measureCalls(ctx, o, d, part.name, part.serviceMS, part.measure); err != nil {
				return err
			}
		}
	}
	return nil
}

// measureCalls starts a fleet with the given service time and runs measure on it. The health endpoint of the first backend
// server of each service always reports an idle server.
func measureCalls(ctx context.Context, o Options, d fleet.Deployment, name string, serviceMS int, measure func(*callBench, context.Context) error) error {
	work := filepath.Join(o.WorkDir, d.Name+"-"+name)
	if err := os.MkdirAll(work, 0o755); err != nil {
		return eris.Wrap(err, "creating work directory")
	}
	services := make([]fleet.Service, len(d.Services))
	for i, s := range d.Services {
		s.ServiceTimeMS = serviceMS
		services[i] = s
	}
	d.Services = services
	started, err := fleet.Start(ctx, fleet.Options{
		Deployment: d, BinDir: o.BinDir, WorkDir: work, LogLevel: "warn", ColdStart: coldStart,
		BackendArgs: func(node string) []string {
			if strings.HasSuffix(node, "-1") {
				return []string{"--health-lies"}
			}
			return nil
		},
	})
	if err != nil {
		return err
	}
	defer started.Kill()
	b := &callBench{options: o, fleet: started, deployment: d}
	if err := b.prepare(ctx); err != nil {
		return err
	}
	return measure(b, ctx)
}

func (b *callBench) prepare(ctx context.Context) error {
	r := run{fleet: b.fleet}
	if err := r.prepare(ctx); err != nil {
		return err
	}
	var err error
	b.snapshot, err = b.fleet.Nodes[0].Client().Snapshot(ctx)
	return err
}

// clearMinShares sets the minimum shares of all ranks to 0.
func (b *callBench) clearMinShares(ctx context.Context) error {
	files, err := fleet.ExampleFiles(b.deployment.Name)
	if err != nil {
		return err
	}
	names := make(map[string]any)
	for _, file := range files {
		switch {
		case file.Entity.Kind == config.KindTemplate && file.Entity.Name == "ranks":
			var template struct {
				Parameters []struct {
					Name string `json:"name"`
				} `json:"parameters"`
			}
			if err := json.Unmarshal(file.Payload, &template); err != nil {
				return eris.Wrap(err, "decoding the ranks template")
			}
			for _, p := range template.Parameters {
				if strings.HasSuffix(p.Name, "_min_share") {
					names[p.Name] = 0
				}
			}
		case file.Entity.Kind == config.KindParameters && strings.HasSuffix(file.Entity.Name, "/ranks"):
			return b.amendRanks(ctx, file.Entity, file.Payload, names)
		}
	}
	return eris.New("the examples have no parameters for ranks")
}

func (b *callBench) amendRanks(ctx context.Context, entity config.Entity, payload []byte, shares map[string]any) error {
	parameters := config.Parameters{}
	if err := json.Unmarshal(payload, &parameters); err != nil {
		return eris.Wrap(err, "decoding parameters")
	}
	for name, value := range parameters.Values {
		if _, ok := shares[name]; !ok {
			shares[name] = value
		}
	}
	encoded, err := json.Marshal(config.Parameters{Values: shares})
	if err != nil {
		return eris.Wrap(err, "encoding parameters")
	}
	client := b.fleet.Nodes[0].Client()
	history, err := client.Entity(ctx, entity)
	if err != nil {
		return err
	}
	id, err := uuid.NewV7()
	if err != nil {
		return eris.Wrap(err, "making a record id")
	}
	result, err := client.Publish(ctx, &config.Record{
		ID: id.String(), Verb: config.Amend, Entity: entity, Base: history.Revisions[len(history.Revisions)-1].Revision,
		Payload: encoded, Author: "bench",
	})
	if err != nil {
		return err
	}
	if result.Outcome != config.Accepted {
		return eris.Errorf("amending the ranks: %s %v", result.Outcome, result.Errors)
	}
	return b.fleet.WaitVersion(ctx, readyTimeout, result.Offset, b.fleet.Nodes)
}

// streamOf returns a stream of calls on a route. The caller sets rate, start and duration.
func (b *callBench) streamOf(route *config.Route) load.Stream {
	s := load.Stream{Name: route.Name, Rank: route.Rank, Method: "GET", Path: route.PathPrefix + "bench", Idempotent: route.Idempotent, BodyBytes: 64, TimeoutMS: route.TimeoutMS}
	if len(route.Methods) > 0 {
		s.Method = route.Methods[0]
	}
	for _, rank := range b.snapshot.Ranks {
		if rank.Name == route.Rank {
			s.TargetMS = rank.TargetMS
		}
	}
	return s
}

// backends returns the nodes of a service and the addresses of their backend servers.
func (b *callBench) backends(service string) (nodes []*fleet.Node, addresses []string) {
	for _, n := range b.fleet.Nodes {
		if n.Service == service {
			nodes = append(nodes, n)
			addresses = append(addresses, strings.TrimPrefix(n.BackendURL, "http://"))
		}
	}
	return nodes, addresses
}

// measureLatency sends the same calls through the nodes and directly at the same time, so that both run under the same
// machine load.
func (b *callBench) measureLatency(ctx context.Context) error {
	route := b.routeOf(b.deployment.Services[len(b.deployment.Services)-1].Name, false)
	stream := b.streamOf(route)
	stream.Rate, stream.DurationMS = latencyRate, int(latencyDuration.Milliseconds())
	_, directAddresses := b.backends(route.Service)
	variants := []load.Options{
		{Nodes: b.fleet.CallAddresses(), Streams: []load.Stream{stream}, Seed: callsSeed, Plain: true},
		{Nodes: directAddresses, Streams: []load.Stream{stream}, Seed: callsSeed, Plain: true},
	}
	cpu, err := startCPUMeter(b.fleet)
	if err != nil {
		return err
	}
	results, err := runConcurrently(ctx, variants)
	if err != nil {
		return err
	}
	use, err := cpu.end()
	if err != nil {
		return err
	}
	viaNodes, direct := load.Summarise(results[0])[0], load.Summarise(results[1])[0]
	fmt.Fprintf(b.options.Out, "bench=calls deployment=%s case=latency calls=%d direct_p50_ms=%.2f direct_p99_ms=%.2f nodes_p50_ms=%.2f nodes_p99_ms=%.2f added_p50_ms=%.2f added_p99_ms=%.2f %s\n",
		b.deployment.Name, viaNodes.Offered, direct.P50MS, direct.P99MS, viaNodes.P50MS, viaNodes.P99MS,
		viaNodes.P50MS-direct.P50MS, viaNodes.P99MS-direct.P99MS, use)
	return nil
}

func runConcurrently(ctx context.Context, variants []load.Options) ([][]load.Record, error) {
	results := make([][]load.Record, len(variants))
	errs := make(chan error, len(variants))
	for i := range variants {
		go func() {
			var err error
			results[i], err = load.Run(ctx, variants[i])
			errs <- err
		}()
	}
	var first error
	for range variants {
		if err := <-errs; err != nil && first == nil {
			first = err
		}
	}
	return results, first
}
