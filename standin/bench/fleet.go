package bench

import (
	"context"
	"fmt"
	"os"
	"runtime"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/laburnumcleat/laburnumcleat/pkg/clock"
	"github.com/laburnumcleat/laburnumcleat/pkg/explain"
	"github.com/laburnumcleat/laburnumcleat/standin/fleet"
	"github.com/laburnumcleat/laburnumcleat/standin/load"
)

const (
	startSettle               = 8 * time.Second  // after a start; lets the gossip and connection set-up of the start subside
	idleDuration              = 15 * time.Second // length of the idle measurement
	killedNodes               = 3
	deathSettle               = 8 * time.Second // after the kills; the traffic in this time is attributed to them
	restartSettle             = 8 * time.Second // after the restarts; the traffic in this time is attributed to them
	deathTimeout              = 30 * time.Second
	massRestartSampleInterval = time.Second
	targetSize                = 1800 // nodes for which the fits are extrapolated; docs/design.md, section 1.4
	maxLoadPerCore            = 0.5  // load average per core before the start, above which the results are unreliable
	maxFleetSize              = 200  // nodes in one fleet
	mebibyte                  = 1 << 20
)

// Fleet measures the cost of one node at several fleet sizes: when idle, at membership and configuration changes, at a mass
// restart, per call and per unit of state. It prints one line per size and a least-squares fit per quantity.
func Fleet(ctx context.Context, o Options) error {
	reportLoad(o)
	if err := stateSizes(o); err != nil {
		return err
	}
	s := newSamples()
	for _, size := range o.Sizes {
		if size > maxFleetSize {
			return eris.Errorf("fleet size %d exceeds the limit of %d nodes", size, maxFleetSize)
		}
		if err := measureFleet(ctx, o, size, s); err != nil {
			return err
		}
		fmt.Fprintf(o.Out, "bench=fleet nodes=%d load1=%s %s\n", size, loadAverage(), s.at(float64(size)))
	}
	for _, name := range s.names {
		l := fit(s.sizes[name], s.values[name])
		fmt.Fprintf(o.Out, "bench=fleet_fit quantity=%s intercept=%.4g slope_per_node=%.4g residual=%.3g at_%d=%.4g\n",
			name, l.intercept, l.slope, l.residual, targetSize, l.at(targetSize))
	}
	return callCosts(ctx, o)
}

// loadAverage returns the machine's load average over the last minute, or "unknown".
func loadAverage() string {
	data, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "unknown"
	}
	first, _, _ := strings.Cut(string(data), " ")
	return first
}

// reportLoad prints the machine's load before the first fleet starts, and whether it is low enough for reliable results.
func reportLoad(o Options) {
	load := loadAverage()
	value, err := strconv.ParseFloat(load, 64)
	quiet := err == nil && value < maxLoadPerCore*float64(runtime.NumCPU())
	fmt.Fprintf(o.Out, "bench=fleet_begin load1=%s processors=%d quiet=%t\n", load, runtime.NumCPU(), quiet)
}

func measureFleet(ctx context.Context, o Options, size int, s *samples) error {
	r, err := startFleet(ctx, o, size)
	if err != nil {
		return err
	}
	defer r.close()
	if err := clock.Sleep(ctx, startSettle); err != nil {
		return err
	}
	m := &meter{run: r, samples: s, size: float64(size)}
	for _, step := range []func(context.Context) error{m.idle, m.membershipChange, m.configurationChange, m.massRestart} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return nil
}

// meter takes the samples of one fleet.
type meter struct {
	run      *run
	samples  *samples
	size     float64
	idleCost cost // cost of the idle fleet, the baseline of above
}

func (m *meter) add(name string, value float64) { m.samples.add(name, m.size, value) }

// cost is the mean cost of a node in an interval.
type cost struct {
	seconds  float64
	bytes    float64 // sent to other nodes and the log service
	cpu      float64 // CPU seconds
	requests float64 // sent to other nodes
}

// above returns the cost in excess of that of an idle node in the same time.
func (c cost) above(idle cost) cost {
	share := c.seconds / idle.seconds
	return cost{c.seconds, c.bytes - idle.bytes*share, c.cpu - idle.cpu*share, c.requests - idle.requests*share}
}

// measureCost returns the mean cost of the given nodes while during runs. None of them may restart in that time, because a
// restart resets their counters.
func (m *meter) measureCost(nodes []*fleet.Node, during func() error) (cost, error) {
	before, err := readTotals(nodes)
	if err != nil {
		return cost{}, err
	}
	begin := time.Now()
	if err := during(); err != nil {
		return cost{}, err
	}
	seconds := time.Since(begin).Seconds()
	after, err := readTotals(nodes)
	n := float64(len(nodes))
	return cost{seconds, (after.bytes - before.bytes) / n, (after.cpu - before.cpu) / n, (after.requests - before.requests) / n}, err
}

// readTotals returns the sums over the given nodes since their start. It leaves seconds at 0.
func readTotals(nodes []*fleet.Node) (cost, error) {
	var total cost
	for _, n := range nodes {
		values, err := n.Metrics()
		if err != nil {
			return total, err
		}
		cpu, _, err := processUsage(n.PID())
		if err != nil {
			return total, err
		}
		total.bytes += values["laburnum_control_bytes_sent"] + values["laburnum_platform_bytes_sent"]
		total.requests += values["laburnum_control_requests_sent"]
		total.cpu += cpu
	}
	return total, nil
}

func (m *meter) idle(ctx context.Context) error {
	nodes := m.run.fleet.Nodes
	var err error
	if m.idleCost, err = m.measureCost(nodes, func() error { return clock.Sleep(ctx, idleDuration) }); err != nil {
		return err
	}
	var memory []float64
	for _, n := range nodes {
		_, rss, err := processUsage(n.PID())
		if err != nil {
			return err
		}
		memory = append(memory, rss/mebibyte)
	}
	m.add("idle_bytes_per_node_s", m.idleCost.bytes/m.idleCost.seconds)
	m.add("idle_cpu_percent", m.idleCost.cpu/m.idleCost.seconds*100)
	m.add("idle_requests_per_node_s", m.idleCost.requests/m.idleCost.seconds)
	m.add("rss_mb_mean", mean(memory))
	m.add("rss_mb_max", maximum(memory))
	return nil
}

// membershipChange kills a few nodes of different data centres and services, waits until the others have declared them
// dead, and restarts them. The times come from the nodes' decision records, because reading these sends no control
// messages.
func (m *meter) membershipChange(ctx context.Context) error {
	var killed, others []*fleet.Node
	for i, n := range m.run.fleet.Nodes {
		if i%(len(m.run.fleet.Nodes)/killedNodes) == 1 && len(killed) < killedNodes {
			killed = append(killed, n)
		} else {
			others = append(others, n)
		}
	}
	var deaths []float64
	changeCost, err := m.measureCost(others, func() error {
		var err error
		if deaths, err = m.killAndWait(ctx, killed, others); err != nil {
			return err
		}
		for _, n := range killed {
			if err := n.Restart(); err != nil {
				return err
			}
		}
		return clock.Sleep(ctx, restartSettle)
	})
	if err != nil {
		return err
	}
	changeCost = changeCost.above(m.idleCost)
	const changes = 2 * killedNodes
	m.add("death_known_to_all_s_p50", load.Percentile(deaths, 50))
	m.add("death_known_to_all_s_max", maximum(deaths))
	m.add("member_change_bytes_per_node", changeCost.bytes/changes)
	m.add("member_change_cpu_ms_per_node", changeCost.cpu/changes*1000)
	m.add("member_change_requests_per_node", changeCost.requests/changes)
	return m.run.fleet.WaitEndpoints(ctx, readyTimeout)
}

// killAndWait kills nodes and returns, for each of them, the seconds until the last of the others declared it dead.
func (m *meter) killAndWait(ctx context.Context, killed, others []*fleet.Node) ([]float64, error) {
	killedAt := make(map[string]time.Time)
	for _, n := range killed {
		killedAt[n.ID] = time.Now()
		n.Kill()
	}
	for waited := deathSettle; ; waited += time.Second {
		if err := clock.Sleep(ctx, time.Second); err != nil {
			return nil, err
		}
		if waited == deathSettle {
			if err := clock.Sleep(ctx, deathSettle-time.Second); err != nil {
				return nil, err
			}
		}
		seconds, missing, err := deathDelays(ctx, killedAt, others)
		if err != nil {
			return nil, err
		}
		if missing == 0 {
			return seconds, nil
		}
		if waited > deathTimeout {
			return nil, eris.Errorf("%d declarations of a killed node as dead are missing after %s", missing, waited)
		}
	}
}

// deathDelays returns, for each killed node, the seconds until the last of the given nodes declared it dead, and the number
// of declarations that are missing.
func deathDelays(ctx context.Context, killedAt map[string]time.Time, nodes []*fleet.Node) ([]float64, int, error) {
	lists := make([][]explain.Event, len(nodes))
	var group errgroup.Group
	group.SetLimit(collectorWorkers)
	for i, n := range nodes {
		group.Go(func() error {
			response, err := n.Client().Explain(ctx, "")
			lists[i] = response.Events
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return nil, 0, err
	}
	var seconds []float64
	missing := 0
	for id, killed := range killedAt {
		last := 0.0
		for _, events := range lists {
			delay := 0.0
			for i := range events {
				if events[i].Kind == explain.DeclaredDead && events[i].Subject == id && events[i].Time.After(killed) {
					delay = events[i].Time.Sub(killed).Seconds()
				}
			}
			if delay == 0 {
				missing++
			}
			last = max(last, delay)
		}
		seconds = append(seconds, last)
	}
	return seconds, missing, nil
}

func (m *meter) configurationChange(ctx context.Context) error {
	var convergence []float64
	changeCost, err := m.measureCost(m.run.fleet.Nodes, func() error {
		var err error
		convergence, err = m.run.amendRepeatedly(ctx)
		return err
	})
	if err != nil {
		return err
	}
	changeCost = changeCost.above(m.idleCost)
	m.add("config_converged_ms_p99", load.Percentile(convergence, 99))
	m.add("config_change_bytes_per_node", changeCost.bytes/configChanges)
	m.add("config_change_cpu_ms_per_node", changeCost.cpu/configChanges*1000)
	return nil
}

// massRestart measures a mass restart and samples the request rate at the log service in the meantime.
func (m *meter) massRestart(ctx context.Context) error {
	sampleCtx, stop := context.WithCancel(ctx)
	defer stop()
	rates := make(chan massRestartRates, 1)
	go func() { rates <- m.sampleLog(sampleCtx) }()
	seconds, totals, err := m.run.massRestart(ctx)
	stop()
	highest := <-rates
	if err != nil {
		return err
	}
	m.add("herd_ready_s", seconds)
	m.add("herd_appends", float64(totals.appends))
	m.add("herd_reads", float64(totals.reads))
	m.add("herd_appends_per_s_max", highest.appends)
	m.add("herd_reads_per_s_max", highest.reads)
	return nil
}

// massRestartRates holds the peak request rates at the log service.
type massRestartRates struct {
	appends, reads float64 // per second, maximum of all samples
}

// sampleLog samples the request rates at the log service every massRestartSampleInterval until ctx ends.
func (m *meter) sampleLog(ctx context.Context) massRestartRates {
	var highest massRestartRates
	before, err := m.run.fleet.LogStats(ctx)
	if err != nil {
		return highest
	}
	at := time.Now()
	for clock.Sleep(ctx, massRestartSampleInterval) == nil {
		after, err := m.run.fleet.LogStats(ctx)
		if err != nil {
			break
		}
		seconds := time.Since(at).Seconds()
		highest.appends = max(highest.appends, float64(after.Appends-before.Appends)/seconds)
		highest.reads = max(highest.reads, float64(after.Reads-before.Reads)/seconds)
		before, at = after, time.Now()
	}
	return highest
}
