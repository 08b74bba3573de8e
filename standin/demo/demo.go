// Package demo runs a complete deployment on loopback. It publishes and amends configuration, generates load of several
// ranks, kills one VM, drains the backend server of another, and reports the results seen by clients and backend servers.
package demo

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/laburnumcleat/laburnumcleat/pkg/callctx"
	"github.com/laburnumcleat/laburnumcleat/pkg/clock"
	"github.com/laburnumcleat/laburnumcleat/pkg/config"
	"github.com/laburnumcleat/laburnumcleat/standin/canary"
	"github.com/laburnumcleat/laburnumcleat/standin/fleet"
	"github.com/laburnumcleat/laburnumcleat/standin/load"
)

const (
	readyTimeout   = 15 * time.Second // for all nodes to become ready, and for all backend servers to become known
	loadDuration   = 14 * time.Second
	amendments     = 5
	amendInterval  = 700 * time.Millisecond
	killAfter      = 5 * time.Second // after the start of the load, as are the following two
	drainAfter     = 7 * time.Second
	restartAfter   = 10 * time.Second
	presenceMargin = 500 * time.Millisecond
	settleTime     = time.Second // lets calls with outcome "unknown" end on the backend servers
	demoSeed       = 1
	offeredPerSlot = 25.0 // calls per second and slot: half of a slot's capacity at 20 ms service time
)

// Options configures the demo.
type Options struct {
	Deployment fleet.Deployment
	BinDir     string
	WorkDir    string
	Out        io.Writer
}

// run is the state of one demo.
type run struct {
	options Options
	fleet   *fleet.Fleet
	prober  *canary.Prober
}

// Run runs the demo. It returns an error if a step fails or a guarantee is violated.
func Run(ctx context.Context, o Options) error {
	started, err := fleet.Start(ctx, fleet.Options{Deployment: o.Deployment, BinDir: o.BinDir, WorkDir: o.WorkDir})
	if err != nil {
		return err
	}
	defer started.Kill()
	r := &run{options: o, fleet: started}
	return r.run(ctx)
}

func (r *run) run(ctx context.Context) error {
	d := r.options.Deployment
	fmt.Fprintf(r.options.Out, "event=started deployment=%s nodes=%d data_centres=%d\n", d.Name, d.Size(), len(d.DataCentres))
	if err := r.fleet.WaitReady(ctx, readyTimeout); err != nil {
		return err
	}
	if err := r.publishExamples(ctx); err != nil {
		return err
	}
	r.prober = canary.NewProber(r.fleet.Nodes)
	probeCtx, stopProber := context.WithCancel(ctx)
	defer stopProber()
	probed := make(chan struct{})
	go func() { r.prober.Run(probeCtx); close(probed) }()
	if err := r.fleet.WaitEndpoints(ctx, readyTimeout); err != nil {
		return err
	}
	// A node accepts a non-idempotent call only if its request id is newer than the node's presence record by at least the
	// maximum clock skew.
	_ = clock.Sleep(ctx, callctx.MaxClockSkew+presenceMargin)

	loadDone := make(chan loadResult, 1)
	go func() { loadDone <- r.runLoad(ctx) }()
	if err := r.runEvents(ctx); err != nil {
		return err
	}
	result := <-loadDone
	if result.err != nil {
		return result.err
	}
	stopProber()
	<-probed
	time.Sleep(settleTime)
	return r.report(result.records)
}

type loadResult struct {
	records []load.Record
	err     error
}

// runLoad offers half of the capacity, spread equally over the routes of the deployment.
func (r *run) runLoad(ctx context.Context) loadResult {
	snapshot, err := r.fleet.Nodes[0].Client().Snapshot(ctx)
	if err != nil {
		return loadResult{err: err}
	}
	d := r.options.Deployment
	slots := float64(d.Size() * d.Slots)
	records, err := load.Run(ctx, load.Options{
		Nodes:   r.fleet.CallAddresses(),
		Streams: Streams(snapshot, slots*offeredPerSlot, 0, loadDuration),
		Seed:    demoSeed,
	})
	return loadResult{records: records, err: err}
}

// runEvents amends the configuration, kills one VM, drains the backend server of another and restarts the killed VM, all
// while the load runs.
func (r *run) runEvents(ctx context.Context) error {
	begin := time.Now()
	for generation := 1; generation <= amendments; generation++ {
		if err := r.amendCanary(ctx, generation); err != nil {
			return err
		}
		_ = clock.Sleep(ctx, time.Until(begin.Add(time.Duration(generation)*amendInterval)))
	}
	killed := r.fleet.Nodes[0]
	_ = clock.Sleep(ctx, time.Until(begin.Add(killAfter)))
	killed.KillVM()
	fmt.Fprintf(r.options.Out, "event=vm_killed node=%s\n", killed.ID)

	_ = clock.Sleep(ctx, time.Until(begin.Add(drainAfter)))
	drained := r.fleet.Nodes[len(r.fleet.Nodes)-1]
	if err := drained.StopBackend(); err != nil {
		return err
	}
	fmt.Fprintf(r.options.Out, "event=backend_server_drained node=%s\n", drained.ID)

	_ = clock.Sleep(ctx, time.Until(begin.Add(restartAfter)))
	if err := killed.RestartVM(); err != nil {
		return err
	}
	fmt.Fprintf(r.options.Out, "event=vm_restarted node=%s\n", killed.ID)
	return r.amendCanary(ctx, amendments+1)
}

// runCtl runs laburnumctl against the second to fourth nodes, because runEvents kills the first one.
func (r *run) runCtl(ctx context.Context, args ...string) error {
	addresses := make([]string, 0, len(r.fleet.Nodes))
	for _, n := range r.fleet.Nodes[1:4] {
		addresses = append(addresses, n.APIURL)
	}
	args = append(args, "--api", strings.Join(addresses, ","))
	command := exec.CommandContext(ctx, filepath.Join(r.options.BinDir, "laburnumctl"), args...)
	output, err := command.CombinedOutput()
	return eris.Wrapf(err, "laburnumctl %s: %s", strings.Join(args, " "), output)
}

func (r *run) publishExamples(ctx context.Context) error {
	files, err := fleet.ExampleFiles(r.options.Deployment.Name)
	if err != nil {
		return err
	}
	for _, file := range files {
		if err := r.applyChange(ctx, "publish", file.Entity, file.Payload); err != nil {
			return err
		}
		fmt.Fprintf(r.options.Out, "event=published file=%s\n", file.Path)
	}
	return r.publishCanary(ctx)
}

// applyChange writes content to a file and passes it to laburnumctl publish or amend.
func (r *run) applyChange(ctx context.Context, verb string, entity config.Entity, content []byte) error {
	file := filepath.Join(r.options.WorkDir, strings.ReplaceAll(entity.String(), "/", "_")+".json")
	if err := os.WriteFile(file, content, 0o644); err != nil {
		return eris.Wrap(err, "writing work file")
	}
	team, template, isParameters := strings.Cut(entity.Name, "/")
	if !isParameters {
		return r.runCtl(ctx, verb, "--template", entity.Name, "--file", file)
	}
	return r.runCtl(ctx, verb, "--team", team, "--template", template, "--file", file)
}
