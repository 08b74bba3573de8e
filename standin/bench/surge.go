package bench

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/laburnumcleat/laburnumcleat/pkg/clock"
	"github.com/laburnumcleat/laburnumcleat/pkg/config"
	"github.com/laburnumcleat/laburnumcleat/standin/fleet"
	"github.com/laburnumcleat/laburnumcleat/standin/load"
)

// surge is one benchmark case: two ranks share a service, and the load of one of them surges.
type surge struct {
	system     string  // "nodes", or the baseline "round_robin" or "strict_priority"
	mostUrgent bool    // the most urgent rank surges, otherwise the least urgent
	load       float64 // offered load relative to the capacity of the service
	cold       bool    // a backend server is restarted first and is still in its cold start during the run
}

// Rates of the rank that does not surge, relative to the capacity of the service.
const (
	steadyMostUrgent  = 0.35
	steadyLeastUrgent = 0.25
)

// runSurges runs all cases of a deployment.
func (b *callBench) runSurges(ctx context.Context) error {
	for _, mostUrgent := range []bool{false, true} {
		for _, factor := range []float64{0.5, 1, 2, 4} {
			if err := b.runSurge(ctx, surge{system: "nodes", mostUrgent: mostUrgent, load: factor}); err != nil {
				return err
			}
		}
		for _, s := range []surge{{system: "nodes", load: 4, cold: true}, {system: "round_robin", load: 4}} {
			s.mostUrgent = mostUrgent
			if err := b.runSurge(ctx, s); err != nil {
				return err
			}
		}
	}
	if err := b.clearMinShares(ctx); err != nil {
		return err
	}
	for _, mostUrgent := range []bool{false, true} {
		if err := b.runSurge(ctx, surge{system: "strict_priority", mostUrgent: mostUrgent, load: 4}); err != nil {
			return err
		}
	}
	return nil
}

// routeOf returns the service's route of the least urgent rank if leastUrgent is set, otherwise that of the most urgent rank. It returns nil
// if the service has no route.
func (b *callBench) routeOf(service string, leastUrgent bool) *config.Route {
	var found *config.Route
	best := 0
	for i := range b.snapshot.Routes {
		route := &b.snapshot.Routes[i]
		index, ok := b.snapshot.RankIndex(route.Rank)
		if route.Service != service || !ok {
			continue
		}
		if found == nil || leastUrgent && index > best || !leastUrgent && index < best {
			found, best = route, index
		}
	}
	return found
}

// surgingService returns the service whose load surges: that of the first route with the deployment's most urgent rank (its least
// urgent rank if mostUrgent is false), or the first service if there is no such route.
func (b *callBench) surgingService(mostUrgent bool) string {
	wanted := b.snapshot.Ranks[len(b.snapshot.Ranks)-1].Name
	if mostUrgent {
		wanted = b.snapshot.Ranks[0].Name
	}
	for i := range b.snapshot.Routes {
		if b.snapshot.Routes[i].Rank == wanted {
			return b.snapshot.Routes[i].Service
		}
	}
	return b.deployment.Services[0].Name
}

// streams returns the streams of the most urgent and the least urgent rank. Their rates add up to s.load times capacity,
// which is in calls per second.
func (b *callBench) streams(s surge, service string, capacity float64) []load.Stream {
	mostUrgent, leastUrgent := b.streamOf(b.routeOf(service, false)), b.streamOf(b.routeOf(service, true))
	mostUrgent.Rate, leastUrgent.Rate = steadyMostUrgent*capacity, (s.load-steadyMostUrgent)*capacity
	if s.mostUrgent {
		mostUrgent.Rate, leastUrgent.Rate = (s.load-steadyLeastUrgent)*capacity, steadyLeastUrgent*capacity
	}
	mostUrgent.DurationMS, leastUrgent.DurationMS = int(surgeDuration.Milliseconds()), int(surgeDuration.Milliseconds())
	return []load.Stream{mostUrgent, leastUrgent}
}

// runSurge runs one case and prints its result.
func (b *callBench) runSurge(ctx context.Context, s surge) error {
	if err := clock.Sleep(ctx, surgePause); err != nil {
		return err
	}
	service := b.surgingService(s.mostUrgent)
	nodes, addresses := b.backends(service)
	slots := len(nodes) * b.deployment.Slots
	capacity := float64(slots) * 1000 / surgeServiceMS
	options := load.Options{Nodes: b.fleet.CallAddresses(), Streams: b.streams(s, service, capacity), Seed: callsSeed}
	if s.system == "round_robin" {
		options.Nodes, options.Plain, options.PlainConcurrency = addresses, true, b.deployment.Slots
	}
	if s.cold {
		nodes[len(nodes)-1].KillBackend()
		if err := nodes[len(nodes)-1].RestartBackend(); err != nil {
			return err
		}
	}
	cpu, err := startCPUMeter(b.fleet)
	if err != nil {
		return err
	}
	begin := time.Now()
	limits := sampleLimits(nodes)
	records, err := load.Run(ctx, options)
	if err != nil {
		return err
	}
	limit := limits.end() / float64(slots)
	use, err := cpu.end()
	if err != nil {
		return err
	}
	executions, err := b.fleet.ExecutionList()
	if err != nil {
		return err
	}
	slotUse := measureSlotUse(records, executions, begin, float64(slots))
	b.printSurge(s, service, records, capacity, slotUse, use, limit)
	if s.cold {
		return b.fleet.WaitEndpoints(ctx, readyTimeout)
	}
	return nil
}

// limitSampler samples the concurrency limits of a service's nodes.
type limitSampler struct {
	stop chan struct{}
	mean chan float64 // mean of the sum over the nodes
}

const limitSampleInterval = 500 * time.Millisecond

func sampleLimits(nodes []*fleet.Node) *limitSampler {
	w := &limitSampler{stop: make(chan struct{}), mean: make(chan float64, 1)}
	go func() {
		sum, samples := 0.0, 0.0
		ticker := time.NewTicker(limitSampleInterval)
		defer ticker.Stop()
		for {
			select {
			case <-w.stop:
				w.mean <- sum / max(samples, 1)
				return
			case <-ticker.C:
			}
			for _, n := range nodes {
				if values, err := n.Metrics(); err == nil {
					sum += values["laburnum_inbound_limit"]
				}
			}
			samples++
		}
	}()
	return w
}

// end stops the sampling and returns the mean of the summed limits.
func (w *limitSampler) end() float64 {
	close(w.stop)
	return <-w.mean
}

// slotUse is the slot utilisation between the warm-up and the end of the offered load.
type slotUse struct {
	busyInTime       float64 // fraction of the slot time spent on calls that were in time
	executionsInTime float64 // fraction of the executions whose calls were in time
}

func measureSlotUse(records []load.Record, executions []fleet.Execution, begin time.Time, slots float64) slotUse {
	inTime := make(map[string]bool, len(records))
	for i := range records {
		inTime[records[i].ID] = records[i].InTime
	}
	from, until := begin.Add(surgeWarmUp), begin.Add(surgeDuration)
	all, useful := 0.0, 0.0
	for _, e := range executions {
		finishedInTime, known := inTime[e.ID]
		if !known || e.At.Before(from) || e.At.After(until) {
			continue
		}
		all++
		if finishedInTime {
			useful++
		}
	}
	possible := slots * until.Sub(from).Seconds() * 1000 / surgeServiceMS
	return slotUse{busyInTime: useful / possible, executionsInTime: useful / max(all, 1)}
}

func (b *callBench) printSurge(s surge, service string, records []load.Record, capacity float64, slots slotUse, use cpuUse, limit float64) {
	name := "least_urgent"
	if s.mostUrgent {
		name = "most_urgent"
	}
	line := fmt.Sprintf("bench=calls deployment=%s case=surge system=%s surge=%s service=%s load=%.1f cold_start=%t",
		b.deployment.Name, s.system, name, service, s.load, s.cold)
	seconds := surgeDuration.Seconds()
	for _, rank := range load.Summarise(records) {
		share := 0.0
		for _, r := range b.snapshot.Ranks {
			if r.Name == rank.Rank {
				share = r.MinShare
			}
		}
		line += fmt.Sprintf(" %[1]s_offered_s=%.0[2]f %[1]s_in_time_s=%.0[3]f %[1]s_in_time=%.4[4]f %[1]s_late=%[5]d %[1]s_refused=%[6]d %[1]s_unknown=%[7]d %[1]s_p99_ms=%.0[8]f %[1]s_kept_share=%.3[9]f %[1]s_min_share=%.2[10]f",
			strings.ReplaceAll(rank.Rank, "-", "_"), float64(rank.Offered)/seconds, float64(rank.InTime)/seconds, rank.Share, rank.Late, rank.Refused, rank.Unknown, rank.P99MS,
			float64(rank.InTime)/seconds/capacity, share)
	}
	fmt.Fprintf(b.options.Out, "%s slots_busy_in_time=%.3f executions_in_time=%.3f limit_of_slots=%.2f %s\n", line, slots.busyInTime, slots.executionsInTime, limit, use)
}
