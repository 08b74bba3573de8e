package explain

import (
	"cmp"
	"io"
	"maps"
	"slices"
	"strconv"
	"time"
)

// Loss counts the requests of a route that were not answered in time, for one cause, in one span of time. The nodes log at most so many
// requests a second and count the rest in log_limited, so that counts are lower bounds under an overload.
type Loss struct {
	From    time.Time // beginning of the span
	Service string
	Route   string // empty: no route matched
	Cause   string
	Count   int
}

// SlotUsage is what the nodes beside the backend servers of a service said of their slots when they refused calls, on average over a span.
type SlotUsage struct {
	Refusals               int
	Running, Queued, Limit float64 // calls at work, waiting, and slots, of one backend server
	SlotTime               time.Duration
}

// SlotUsageKey names the service and the span of a Room.
type SlotUsageKey struct {
	From    time.Time
	Service string
}

// Losses is what the logs of nodes tell of requests that were lost.
type Losses struct {
	Rows      []Loss // in order of time, service, route and cause
	SlotUsage map[SlotUsageKey]SlotUsage
}

// The causes of losses.
const (
	CauseSlots        = "short of slots"
	CauseRetryRefused = "refused again after coming back"
	CauseLate         = "answered late"
	CauseLink         = "link of the machine full"
	CauseBackend      = "backend server"
	CauseNode         = "node lost"
	CauseNoEndpoint   = "no path"
	CauseCancelled    = "caller left"
	CauseOther        = "other"
)

// causes maps the reasons in the lines of requests. A request that is short of slots is told apart by whether its caller had come back.
var causes = map[string]string{
	"full": CauseSlots, "deadline_unreachable": CauseSlots, "link_full": CauseLink,
	"backend_shed": CauseBackend, "connection_lost": CauseBackend, "response_garbled": CauseBackend, "response_truncated": CauseBackend,
	"response_unsigned": CauseBackend, "backend_unreachable": CauseBackend, "deadline": CauseBackend, "other_instance": CauseBackend,
	"node_lost": CauseNode, "other_node": CauseNode,
	"no_endpoint": CauseNoEndpoint, "no_backend": CauseNoEndpoint, "draining": CauseNoEndpoint, "stopping": CauseNoEndpoint, "other_service": CauseNoEndpoint, "no_configuration": CauseNoEndpoint,
	"cancelled": CauseCancelled,
}

// causeOf returns the cause of the loss that a line tells of, or "" for a request that was answered in time.
func causeOf(l Line) string {
	if l.Fields["verdict"] == "answered" {
		if l.Fields["late_ms"] != "" {
			return CauseLate
		}
		return ""
	}
	cause := cmp.Or(causes[l.Fields["reason"]], CauseOther)
	if cause == CauseSlots && l.Fields["returned"] == "true" {
		return CauseRetryRefused
	}
	return cause
}

// FindLosses reads the logs of any number of nodes. Lines that cannot be read are passed over.
func FindLosses(span time.Duration, logs ...io.Reader) (Losses, error) {
	counts := make(map[Loss]int)
	room := make(map[SlotUsageKey]SlotUsage)
	err := eachLine(logs, func(line Line) {
		from, service := line.Time.Truncate(span), line.Fields["service"]
		switch line.Event {
		case "request":
			if cause := causeOf(line); cause != "" {
				counts[Loss{From: from, Service: service, Route: line.Fields["route"], Cause: cause}]++
			}
		case "inbound":
			if limit := number(line, "limit"); limit > 0 {
				k := SlotUsageKey{from, service}
				room[k] = room[k].add(line, limit)
			}
		}
	})
	if err != nil {
		return Losses{}, err
	}
	found := Losses{SlotUsage: room}
	for loss, n := range counts {
		loss.Count = n
		found.Rows = append(found.Rows, loss)
	}
	slices.SortFunc(found.Rows, func(a, b Loss) int {
		return cmp.Or(a.From.Compare(b.From), cmp.Compare(a.Service, b.Service), cmp.Compare(a.Route, b.Route), cmp.Compare(a.Cause, b.Cause))
	})
	return found, nil
}

// add takes one more refusal into the averages.
func (r SlotUsage) add(l Line, limit float64) SlotUsage {
	r.Refusals++
	part := 1 / float64(r.Refusals)
	r.Running += (number(l, "running") - r.Running) * part
	r.Queued += (number(l, "queued") - r.Queued) * part
	r.Limit += (limit - r.Limit) * part
	if slot, err := time.ParseDuration(l.Fields["slot_time"]); err == nil {
		r.SlotTime += time.Duration(float64(slot-r.SlotTime) * part)
	}
	return r
}

// number reads a field of a line; 0 if it is not there or no number.
func number(l Line, field string) float64 {
	n, err := strconv.ParseFloat(l.Fields[field], 64)
	if err != nil {
		return 0
	}
	return n
}

// Causes returns the causes that occur, the most frequent first.
func (l Losses) Causes() []string {
	counts := l.ByCause()
	return slices.SortedFunc(maps.Keys(counts), func(a, b string) int {
		return cmp.Or(cmp.Compare(counts[b], counts[a]), cmp.Compare(a, b))
	})
}

// ByCause sums over time, services and routes.
func (l Losses) ByCause() map[string]int {
	counts := make(map[string]int)
	for _, row := range l.Rows {
		counts[row.Cause] += row.Count
	}
	return counts
}
