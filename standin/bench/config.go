package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/laburnumcleat/laburnumcleat/pkg/clock"
	"github.com/laburnumcleat/laburnumcleat/pkg/config"
	"github.com/laburnumcleat/laburnumcleat/pkg/explain"
	"github.com/laburnumcleat/laburnumcleat/pkg/logstore"
	"github.com/laburnumcleat/laburnumcleat/standin/load"
)

const (
	idleWindow       = 20 * time.Second
	configChanges    = 30
	changeInterval   = 250 * time.Millisecond
	settleWindow     = 3 * time.Second // for late activations and the traffic after a restart
	pollBaseline     = 10 * time.Second
	pollInterval     = time.Second // per node in the polling baseline
	massRestartShare = 3           // one in massRestartShare nodes restarts
	versionSubject   = "version "
	collectorWorkers = 16
)

// Config measures configuration convergence and control traffic at several fleet sizes. The baselines are polling of the log
// by every node, and distribution of the full state instead of records.
func Config(ctx context.Context, o Options) error {
	for _, size := range o.Sizes {
		if err := measureConfig(ctx, o, size); err != nil {
			return err
		}
	}
	return nil
}

func measureConfig(ctx context.Context, o Options, size int) error {
	r, err := startFleet(ctx, o, size)
	if err != nil {
		return err
	}
	defer r.close()
	idle, err := r.measure(func() error { return clock.Sleep(ctx, idleWindow) })
	if err != nil {
		return err
	}
	var convergence []float64
	changing, err := r.measure(func() error {
		convergence, err = r.amendRepeatedly(ctx)
		return err
	})
	if err != nil {
		return err
	}
	restartSeconds, restart, err := r.massRestart(ctx)
	if err != nil {
		return err
	}
	polling, err := r.pollingBaseline(ctx)
	if err != nil {
		return err
	}
	stateBytes, err := r.stateBytes(ctx)
	if err != nil {
		return err
	}
	perChange := (changing.controlBytes - idle.controlBytes) * changing.seconds / configChanges
	daily := idle.controlBytes + perChange*changesPerDay/secondsPerDay
	fmt.Fprintf(o.Out, "bench=config nodes=%d converged_ms_p50=%.0f converged_ms_p99=%.0f converged_ms_max=%.0f"+
		" idle_bytes_per_node_s=%.0f bytes_per_node_per_change=%.0f bytes_per_node_s_at_2800_a_day=%.0f"+
		" herd_nodes=%d herd_ready_s=%.1f herd_bytes_per_node_s=%.0f herd_log_appends=%d herd_log_reads=%d"+
		" idle_platform_bytes_s=%.0f polling_platform_bytes_s=%.0f platform_share_of_polling=%.3f"+
		" full_state_bytes=%d full_state_factor=%.1f\n",
		size, load.Percentile(convergence, 50), load.Percentile(convergence, 99), load.Percentile(convergence, 100),
		idle.controlBytes, perChange, daily,
		size/massRestartShare, restartSeconds, restart.bytesPerNode, restart.appends, restart.reads,
		idle.platform, polling, idle.platform/polling,
		stateBytes, float64(stateBytes)/max(perChange, 1))
	return nil
}

// amendRepeatedly amends one team's parameters configChanges times and returns the times in milliseconds from acceptance to
// activation on each node. The times are comparable because all processes use the same clock.
func (r *run) amendRepeatedly(ctx context.Context) ([]float64, error) {
	target, err := r.findAmendment(ctx)
	if err != nil {
		return nil, err
	}
	acceptedAt := make(map[int64]time.Time)
	for i := range configChanges {
		if err := r.amend(ctx, target, float64(i%2)); err != nil {
			return nil, err
		}
		acceptedAt[target.revision] = time.Now()
		if err := clock.Sleep(ctx, changeInterval); err != nil {
			return nil, err
		}
	}
	if err := r.fleet.WaitVersion(ctx, readyTimeout, target.revision, r.fleet.Nodes); err != nil {
		return nil, err
	}
	if err := clock.Sleep(ctx, settleWindow); err != nil {
		return nil, err
	}
	return r.activationDelays(ctx, acceptedAt)
}

// amendment identifies a number in a team's parameters that the benchmark alternates between two values.
type amendment struct {
	entity   config.Entity
	revision int64
	values   map[string]any
	name     string
	original float64
}

// findAmendment selects a number above 10 in the published parameters.
func (r *run) findAmendment(ctx context.Context) (*amendment, error) {
	list, err := r.fleet.Nodes[0].Client().Entities(ctx)
	if err != nil {
		return nil, err
	}
	for _, summary := range list.Entities {
		if summary.Entity.Kind != config.KindParameters || summary.Retired {
			continue
		}
		history, err := r.fleet.Nodes[0].Client().Entity(ctx, summary.Entity)
		if err != nil {
			return nil, err
		}
		parameters := config.Parameters{}
		if err := json.Unmarshal(history.Revisions[len(history.Revisions)-1].Payload, &parameters); err != nil {
			return nil, eris.Wrap(err, "decoding parameters")
		}
		for name, value := range parameters.Values {
			if number, ok := value.(float64); ok && number > 10 {
				return &amendment{summary.Entity, summary.Revision, parameters.Values, name, number}, nil
			}
		}
	}
	return nil, eris.New("the examples have no parameters with a number above 10")
}

// amend sets the number to its original value plus difference.
func (r *run) amend(ctx context.Context, target *amendment, difference float64) error {
	target.values[target.name] = target.original + difference
	payload, err := json.Marshal(config.Parameters{Values: target.values})
	if err != nil {
		return eris.Wrap(err, "encoding parameters")
	}
	result, err := r.publish(ctx, config.Amend, target.entity, target.revision, payload)
	target.revision = result.Offset
	return err
}

// activationDelays returns the activation delays of all nodes, in milliseconds.
func (r *run) activationDelays(ctx context.Context, acceptedAt map[int64]time.Time) ([]float64, error) {
	perNode := make([][]float64, len(r.fleet.Nodes))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(collectorWorkers)
	for i, n := range r.fleet.Nodes {
		group.Go(func() error {
			list, err := n.Client().Explain(ctx, "")
			if err != nil {
				return err
			}
			perNode[i] = nodeActivationDelays(list.Events, acceptedAt)
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	var all []float64
	for i := range perNode {
		all = append(all, perNode[i]...)
	}
	return all, nil
}

// nodeActivationDelays returns, for each accepted version, the milliseconds until the node activated it or a later one.
func nodeActivationDelays(events []explain.Event, acceptedAt map[int64]time.Time) []float64 {
	var result []float64
	for version, accepted := range acceptedAt {
		for i := range events {
			var activated int64
			if events[i].Kind != explain.Activated {
				continue
			}
			if _, err := fmt.Sscanf(events[i].Subject, versionSubject+"%d", &activated); err != nil || activated < version {
				continue
			}
			result = append(result, max(0, float64(events[i].Time.Sub(accepted).Microseconds())/1000))
			break
		}
	}
	return result
}

// massRestartResult is the load caused by a mass restart.
type massRestartResult struct {
	bytesPerNode   float64 // control bytes per second and node after the restart
	appends, reads int64   // requests at the log service
}

// massRestart kills one in massRestartShare nodes, restarts them all at the same time and waits until they have activated the current
// version. It returns the seconds that this took.
func (r *run) massRestart(ctx context.Context) (float64, massRestartResult, error) {
	version, err := r.fleet.Nodes[len(r.fleet.Nodes)-1].Client().Status(ctx, 0)
	if err != nil {
		return 0, massRestartResult{}, err
	}
	before, err := r.fleet.LogStats(ctx)
	if err != nil {
		return 0, massRestartResult{}, err
	}
	restarted := r.fleet.Nodes[:len(r.fleet.Nodes)/massRestartShare]
	var group errgroup.Group
	for _, n := range restarted {
		group.Go(func() error { n.Kill(); return nil })
	}
	_ = group.Wait()
	begin := time.Now()
	for _, n := range restarted {
		group.Go(n.Restart)
	}
	if err := group.Wait(); err != nil {
		return 0, massRestartResult{}, err
	}
	if err := r.fleet.WaitVersion(ctx, readyTimeout, version.Version, restarted); err != nil {
		return 0, massRestartResult{}, err
	}
	seconds := time.Since(begin).Seconds()
	window, err := r.measure(func() error { return clock.Sleep(ctx, settleWindow) })
	if err != nil {
		return 0, massRestartResult{}, err
	}
	after, err := r.fleet.LogStats(ctx)
	return seconds, massRestartResult{
		bytesPerNode: window.controlBytes, appends: after.Appends - before.Appends, reads: after.Reads - before.Reads,
	}, err
}

// pollingBaseline polls the log with one client per node every pollInterval. It returns the bytes per second at the log
// service, less the traffic of the fleet itself.
func (r *run) pollingBaseline(ctx context.Context) (float64, error) {
	own, err := r.platformRate(ctx, func() error { return clock.Sleep(ctx, pollBaseline) })
	if err != nil {
		return 0, err
	}
	withPolling, err := r.platformRate(ctx, func() error {
		pollCtx, cancel := context.WithTimeout(ctx, pollBaseline)
		defer cancel()
		var group errgroup.Group
		for range r.fleet.Nodes {
			group.Go(func() error { r.poll(pollCtx); return nil })
		}
		return group.Wait()
	})
	return withPolling - own, err
}

// platformRate returns the bytes per second at the log service, in both directions, while during runs.
func (r *run) platformRate(ctx context.Context, during func() error) (float64, error) {
	before, err := r.fleet.LogStats(ctx)
	if err != nil {
		return 0, err
	}
	begin := time.Now()
	if err := during(); err != nil {
		return 0, err
	}
	after, err := r.fleet.LogStats(ctx)
	bytes := after.BytesReceived + after.BytesSent - before.BytesReceived - before.BytesSent
	return float64(bytes) / time.Since(begin).Seconds(), err
}

func (r *run) poll(ctx context.Context) {
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	log := logstore.NewHTTPLog([]string{r.fleet.LogURL}, transport)
	from := int64(1)
	for ctx.Err() == nil {
		batch, err := log.Read(ctx, logstore.StreamConfig, from, 1000, 0)
		if err == nil {
			from = batch.Next
		}
		_ = clock.Sleep(ctx, pollInterval)
	}
}

// stateBytes returns the encoded size of the full state, which every node would receive at each change if there were no
// incremental records.
func (r *run) stateBytes(ctx context.Context) (int, error) {
	log := logstore.NewHTTPLog([]string{r.fleet.LogURL}, http.DefaultTransport)
	batch, err := log.Read(ctx, logstore.StreamConfig, 1, 10_000, 0)
	if err != nil {
		return 0, err
	}
	state := config.NewState()
	for _, entry := range batch.Entries {
		state, _ = config.Apply(state, entry.Offset, entry.Data)
	}
	encoded, err := state.Encode()
	return len(encoded), err
}
