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

// surge is one case: two ranks share a service, and the calls of one of them surge.
type surge struct {
	system string  // "nodes", or the baseline "round_robin" or "strict_priority"
	most   bool    // the most urgent work surges, else the least urgent
	load   float64 // offered load relative to the capacity of the service
	cold   bool    // a backend server restarts at the beginning
}

// Rates of the work that does not surge, relative to the capacity of the service.
const (
	steadyUrgent = 0.35
	steadyLeast  = 0.25
)

// surges runs all cases of a deployment.
func (b *callBench) surges(ctx context.Context) error {
	for _, most := range []bool{false, true} {
		for _, times := range []float64{0.5, 1, 2, 4} {
			if err := b.surge(ctx, surge{system: "nodes", most: most, load: times}); err != nil {
				return err
			}
		}
		for _, s := range []surge{{system: "nodes", load: 4, cold: true}, {system: "round_robin", load: 4}} {
			s.most = most
			if err := b.surge(ctx, s); err != nil {
				return err
			}
		}
	}
	if err := b.strict(ctx); err != nil {
		return err
	}
	for _, most := range []bool{false, true} {
		if err := b.surge(ctx, surge{system: "strict_priority", most: most, load: 4}); err != nil {
			return err
		}
	}
	return nil
}

// routeOf returns the route of a service with the least or the most urgent rank.
func (b *callBench) routeOf(service string, least bool) *config.Route {
	var found *config.Route
	best := 0
	for i := range b.snapshot.Routes {
		route := &b.snapshot.Routes[i]
		index, ok := b.snapshot.RankIndex(route.Rank)
		if route.Service != service || !ok {
			continue
		}
		if found == nil || least && index > best || !least && index < best {
			found, best = route, index
		}
	}
	return found
}

// service returns the service whose work surges: the one with the most urgent rank, or the one with the least urgent.
func (b *callBench) service(most bool) string {
	wanted := b.snapshot.Ranks[len(b.snapshot.Ranks)-1].Name
	if most {
		wanted = b.snapshot.Ranks[0].Name
	}
	for i := range b.snapshot.Routes {
		if b.snapshot.Routes[i].Rank == wanted {
			return b.snapshot.Routes[i].Service
		}
	}
	return b.deployment.Services[0].Name
}

// streams returns the calls of the urgent and of the least urgent rank.
func (b *callBench) streams(s surge, service string, capacity float64) []load.Stream {
	urgent, least := b.streamOf(b.routeOf(service, false)), b.streamOf(b.routeOf(service, true))
	urgent.Rate, least.Rate = steadyUrgent*capacity, (s.load-steadyUrgent)*capacity
	if s.most {
		urgent.Rate, least.Rate = (s.load-steadyLeast)*capacity, steadyLeast*capacity
	}
	urgent.DurationMS, least.DurationMS = int(surgeDuration.Milliseconds()), int(surgeDuration.Milliseconds())
	return []load.Stream{urgent, least}
}

func (b *callBench) surge(ctx context.Context, s surge) error {
	if err := clock.Sleep(ctx, surgePause); err != nil {
		return err
	}
	service := b.service(s.most)
	nodes, addresses := b.backends(service)
	slots := len(nodes) * b.deployment.Slots
	capacity := float64(slots) * 1000 / surgeServiceMS
	options := load.Options{Nodes: b.fleet.CallAddresses(), Streams: b.streams(s, service, capacity), Seed: callsSeed}
	if s.system == "round_robin" {
		options.Nodes, options.Plain, options.FIFO = addresses, true, b.deployment.Slots
	}
	if s.cold {
		nodes[len(nodes)-1].KillBackend()
		if err := nodes[len(nodes)-1].RestartBackend(); err != nil {
			return err
		}
	}
	machine, err := startMachine(b.fleet)
	if err != nil {
		return err
	}
	begin := time.Now()
	limits := watchLimits(nodes)
	records, err := load.Run(ctx, options)
	if err != nil {
		return err
	}
	limit := limits.end() / float64(slots)
	use, err := machine.end()
	if err != nil {
		return err
	}
	executions, err := b.fleet.ExecutionList()
	if err != nil {
		return err
	}
	slotUse := useOfSlots(records, executions, begin, float64(slots))
	b.print(s, service, records, capacity, slotUse, use, limit)
	if s.cold {
		return b.fleet.WaitEndpoints(ctx, readyLimit)
	}
	return nil
}

// limitWatch samples the in-flight limits of a service's nodes.
type limitWatch struct {
	stop chan struct{}
	mean chan float64 // of the sum over the nodes
}

const limitInterval = 500 * time.Millisecond

func watchLimits(nodes []*fleet.Node) *limitWatch {
	w := &limitWatch{stop: make(chan struct{}), mean: make(chan float64, 1)}
	go func() {
		sum, samples := 0.0, 0.0
		ticker := time.NewTicker(limitInterval)
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

// end returns the mean sum of the limits.
func (w *limitWatch) end() float64 {
	close(w.stop)
	return <-w.mean
}

// slotUse describes the slots after the warm-up, until the last call was offered.
type slotUse struct {
	inTime float64 // part of the slots that were busy with work that finished in time
	useful float64 // part of the executions that finished in time
}

func useOfSlots(records []load.Record, executions []fleet.Execution, begin time.Time, slots float64) slotUse {
	inTime := make(map[string]bool, len(records))
	for i := range records {
		inTime[records[i].ID] = records[i].InTime
	}
	from, until := begin.Add(surgeWarmUp), begin.Add(surgeDuration)
	all, good := 0.0, 0.0
	for _, e := range executions {
		finished, known := inTime[e.ID]
		if !known || e.At.Before(from) || e.At.After(until) {
			continue
		}
		all++
		if finished {
			good++
		}
	}
	possible := slots * until.Sub(from).Seconds() * 1000 / surgeServiceMS
	return slotUse{inTime: good / possible, useful: good / max(all, 1)}
}

func (b *callBench) print(s surge, service string, records []load.Record, capacity float64, slots slotUse, use machineUse, limit float64) {
	name := "least_urgent"
	if s.most {
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
	fmt.Fprintf(b.options.Out, "%s slots_busy_in_time=%.3f executions_in_time=%.3f limit_of_slots=%.2f %s\n", line, slots.inTime, slots.useful, limit, use)
}
