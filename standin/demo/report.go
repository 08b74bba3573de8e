package demo

import (
	"fmt"
	"math"
	"sort"
	"time"

	"github.com/rotisserie/eris"

	"github.com/laburnumcleat/laburnumcleat/pkg/callctx"
	"github.com/laburnumcleat/laburnumcleat/pkg/config"
	"github.com/laburnumcleat/laburnumcleat/standin/canary"
	"github.com/laburnumcleat/laburnumcleat/standin/load"
)

// Streams returns one stream of calls for each route of a snapshot, with equal rates that add up to total calls a second.
func Streams(snapshot *config.Snapshot, total float64, start, duration time.Duration) []load.Stream {
	targets := make(map[string]int)
	for _, rank := range snapshot.Ranks {
		targets[rank.Name] = rank.TargetMS
	}
	var streams []load.Stream
	for _, route := range snapshot.Routes {
		if route.Name == canary.RouteName {
			continue
		}
		method := "GET"
		if len(route.Methods) > 0 {
			method = route.Methods[0]
		}
		streams = append(streams, load.Stream{
			Name: route.Name, Rank: route.Rank, Method: method, Path: route.PathPrefix + "demo", Idempotent: route.Idempotent,
			BodyBytes: 64, StartMS: int(start.Milliseconds()), DurationMS: int(duration.Milliseconds()),
			TimeoutMS: route.TimeoutMS, TargetMS: targets[route.Rank],
		})
	}
	for i := range streams {
		streams[i].Rate = total / float64(len(streams))
	}
	return streams
}

// report prints the summary and returns an error if a guarantee was violated.
func (r *run) report(records []load.Record) error {
	executions, err := r.fleet.Executions()
	if err != nil {
		return err
	}
	convergence, err := r.prober.Convergence(amendments)
	if err != nil {
		return err
	}
	v := load.Verify(records, executions)
	fmt.Fprintln(r.options.Out, load.Summarise(records))
	fmt.Fprintln(r.options.Out, Outcomes(records))
	older, dangling := r.prober.Violations()
	dangling += countReason(records, callctx.UnknownService)
	fmt.Fprintf(r.options.Out, "converged_ms_p50=%.0f converged_ms_p99=%.0f control_bytes_per_node_s=%.0f calls=%d ok=%d foreign=%d unexecuted=%d cut=%d doubled=%d older_version=%d dangling_route=%d not_run_false=%d\n",
		load.Percentile(convergence, 50), load.Percentile(convergence, 99), r.controlBytesPerNode(), v.Calls, v.OK, v.Foreign, v.Unexecuted,
		v.Truncated, v.Duplicated, older, dangling, v.NotRunExecuted)
	if !v.Clean() || older > 0 || dangling > 0 {
		return eris.New("a guarantee was violated; the counts above name it")
	}
	return nil
}

// Outcomes counts the calls by outcome and reason.
func Outcomes(records []load.Record) string {
	counts := make(map[string]int)
	for i := range records {
		key := string(records[i].Outcome)
		if records[i].Reason != "" {
			key += "/" + string(records[i].Reason)
		}
		counts[key]++
	}
	keys := make([]string, 0, len(counts))
	for key := range counts {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	line := "event=outcomes"
	for _, key := range keys {
		line += fmt.Sprintf(" %s=%d", key, counts[key])
	}
	return line
}

func countReason(records []load.Record, reason callctx.Reason) int {
	count := 0
	for i := range records {
		if records[i].Reason == reason {
			count++
		}
	}
	return count
}

// controlBytesPerNode returns the mean rate of control bytes sent by a node since its start, counted at its sockets.
func (r *run) controlBytesPerNode() float64 {
	total, nodes := 0.0, 0
	for _, n := range r.fleet.Nodes {
		values, err := n.Metrics()
		if err != nil {
			continue // a node that was killed for good
		}
		sent := values["laburnum_control_bytes_sent"] + values["laburnum_platform_bytes_sent"]
		total += sent / n.Uptime().Seconds()
		nodes++
	}
	if nodes == 0 {
		return math.NaN()
	}
	return total / float64(nodes)
}
