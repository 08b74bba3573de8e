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
	calmPause      = 8 * time.Second  // after a start; lets gossip and connections of the start end
	restDuration   = 15 * time.Second // of the idle measurement
	killedNodes    = 3
	deathSettle    = 8 * time.Second // after the kills; until then bytes are counted as their cost
	returnSettle   = 8 * time.Second // after the restarts, as above
	deathLimit     = 30 * time.Second
	herdSample     = time.Second
	targetSize     = 1800 // nodes, design section 1.4
	allowedPerCore = 0.5  // of the processors, load of other work that leaves figures usable
	maxFleet       = 200  // nodes at a time
	megabyte       = 1 << 20
)

// Fleet measures what one node costs at several fleet sizes: idle, at changes of membership and configuration, at a mass
// restart, for calls and for state. It prints one line for each size and a least-squares fit for each quantity.
func Fleet(ctx context.Context, o Options) error {
	reportLoad(o)
	if err := stateSizes(o); err != nil {
		return err
	}
	s := newSamples()
	for _, size := range o.Sizes {
		if size > maxFleet {
			return eris.Errorf("fleet size %d; at most %d nodes at a time", size, maxFleet)
		}
		if err := fleetAt(ctx, o, size, s); err != nil {
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

// loadAverage is the number of running processes over the last minute.
func loadAverage() string {
	data, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "unknown"
	}
	first, _, _ := strings.Cut(string(data), " ")
	return first
}

// reportLoad prints the machine's load before the first fleet and warns if it is too high for use.
func reportLoad(o Options) {
	load := loadAverage()
	value, err := strconv.ParseFloat(load, 64)
	quiet := err == nil && value < allowedPerCore*float64(runtime.NumCPU())
	fmt.Fprintf(o.Out, "bench=fleet_begin load1=%s processors=%d quiet=%t\n", load, runtime.NumCPU(), quiet)
}

func fleetAt(ctx context.Context, o Options, size int, s *samples) error {
	r, err := startFleet(ctx, o, size)
	if err != nil {
		return err
	}
	defer r.close()
	if err := clock.Sleep(ctx, calmPause); err != nil {
		return err
	}
	m := &meter{run: r, samples: s, size: float64(size)}
	for _, step := range []func(context.Context) error{m.idle, m.membershipChange, m.configurationChange, m.herd} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return nil
}

// meter takes the samples of one fleet.
type meter struct {
	run     *run
	samples *samples
	size    float64
	calm    cost // of the idle fleet
}

func (m *meter) add(name string, value float64) { m.samples.add(name, m.size, value) }

// cost is what each node spent on average in an interval.
type cost struct {
	seconds  float64
	bytes    float64 // sent to nodes and the log service
	cpu      float64 // seconds
	requests float64 // sent to nodes
}

// beyond is the cost in addition to that of an idle node in the same time.
func (c cost) beyond(calm cost) cost {
	share := c.seconds / calm.seconds
	return cost{c.seconds, c.bytes - calm.bytes*share, c.cpu - calm.cpu*share, c.requests - calm.requests*share}
}

// costOf measures the given nodes during a function. None of them may restart meanwhile.
func (m *meter) costOf(nodes []*fleet.Node, during func() error) (cost, error) {
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
	if m.calm, err = m.costOf(nodes, func() error { return clock.Sleep(ctx, restDuration) }); err != nil {
		return err
	}
	var memory []float64
	for _, n := range nodes {
		_, rss, err := processUsage(n.PID())
		if err != nil {
			return err
		}
		memory = append(memory, rss/megabyte)
	}
	m.add("idle_bytes_per_node_s", m.calm.bytes/m.calm.seconds)
	m.add("idle_cpu_percent", m.calm.cpu/m.calm.seconds*100)
	m.add("idle_requests_per_node_s", m.calm.requests/m.calm.seconds)
	m.add("rss_mb_mean", mean(memory))
	m.add("rss_mb_max", maximum(memory))
	return nil
}

// membershipChange kills a few nodes of different data centres and services, waits until the others have declared them
// dead, and restarts them. The times come from the nodes' records of decisions, so that asking for them sends no control
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
	spent, err := m.costOf(others, func() error {
		var err error
		if deaths, err = m.killAndWait(ctx, killed, others); err != nil {
			return err
		}
		for _, n := range killed {
			if err := n.Restart(); err != nil {
				return err
			}
		}
		return clock.Sleep(ctx, returnSettle)
	})
	if err != nil {
		return err
	}
	spent = spent.beyond(m.calm)
	const changes = 2 * killedNodes
	m.add("death_known_to_all_s_p50", load.Percentile(deaths, 50))
	m.add("death_known_to_all_s_max", maximum(deaths))
	m.add("member_change_bytes_per_node", spent.bytes/changes)
	m.add("member_change_cpu_ms_per_node", spent.cpu/changes*1000)
	m.add("member_change_requests_per_node", spent.requests/changes)
	return m.run.fleet.WaitEndpoints(ctx, readyLimit)
}

// killAndWait returns for each killed node the seconds until the last of the others declared it dead.
func (m *meter) killAndWait(ctx context.Context, killed, others []*fleet.Node) ([]float64, error) {
	at := make(map[string]time.Time)
	for _, n := range killed {
		at[n.ID] = time.Now()
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
		seconds, missing, err := declared(ctx, at, others)
		if err != nil {
			return nil, err
		}
		if missing == 0 {
			return seconds, nil
		}
		if waited > deathLimit {
			return nil, eris.Errorf("%d nodes have not declared a killed node dead after %s", missing, waited)
		}
	}
}

// declared returns the time to the last declaration of each death, and how many declarations are missing.
func declared(ctx context.Context, killedAt map[string]time.Time, nodes []*fleet.Node) ([]float64, int, error) {
	lists := make([][]explain.Event, len(nodes))
	var group errgroup.Group
	group.SetLimit(collectorWorkers)
	for i, n := range nodes {
		group.Go(func() error {
			answer, err := n.Client().Explain(ctx, "")
			lists[i] = answer.Events
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
			heard := 0.0
			for i := range events {
				if events[i].Kind == explain.DeclaredDead && events[i].Subject == id && events[i].Time.After(killed) {
					heard = events[i].Time.Sub(killed).Seconds()
				}
			}
			if heard == 0 {
				missing++
			}
			last = max(last, heard)
		}
		seconds = append(seconds, last)
	}
	return seconds, missing, nil
}

func (m *meter) configurationChange(ctx context.Context) error {
	var convergence []float64
	spent, err := m.costOf(m.run.fleet.Nodes, func() error {
		var err error
		convergence, err = m.run.changes(ctx)
		return err
	})
	if err != nil {
		return err
	}
	spent = spent.beyond(m.calm)
	m.add("config_converged_ms_p99", load.Percentile(convergence, 99))
	m.add("config_change_bytes_per_node", spent.bytes/configChanges)
	m.add("config_change_cpu_ms_per_node", spent.cpu/configChanges*1000)
	return nil
}

// herd kills and restarts a third of the fleet at once and samples the requests at the log service meanwhile.
func (m *meter) herd(ctx context.Context) error {
	sampling, stop := context.WithCancel(ctx)
	defer stop()
	rates := make(chan herdRates, 1)
	go func() { rates <- m.sampleLog(sampling) }()
	seconds, totals, err := m.run.herd(ctx)
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

type herdRates struct {
	appends, reads float64 // highest of any sample, a second
}

func (m *meter) sampleLog(ctx context.Context) herdRates {
	var highest herdRates
	before, err := m.run.fleet.LogStats(ctx)
	if err != nil {
		return highest
	}
	at := time.Now()
	for clock.Sleep(ctx, herdSample) == nil {
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
