package explain

import (
	"bufio"
	"cmp"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// Loss counts the requests of a route that were not answered in time, for one cause and one interval. Nodes limit the request lines that
// they log per second and count the rest in the metric log_limited, so under overload the counts are lower bounds.
type Loss struct {
	From    time.Time // start of the interval
	Service string
	Route   string // empty: no route matched
	Cause   string
	Count   int
}

// suppressedMetric is the metric, as a node serves it, that counts the request lines that the node did not log.
const suppressedMetric = `laburnum_log_limited{event="request"}`

// SuppressedLines sums the request lines that nodes did not log, from the text of their metrics: one reader for each process, which counts
// from its start. Some of these requests were answered, after a retry.
func SuppressedLines(metrics ...io.Reader) (int64, error) {
	sum := int64(0)
	for _, r := range metrics {
		scanner := bufio.NewScanner(r)
		for scanner.Scan() {
			text, ok := strings.CutPrefix(scanner.Text(), suppressedMetric+" ")
			if !ok {
				continue
			}
			n, err := strconv.ParseInt(text, 10, 64)
			if err != nil {
				return 0, eris.Wrapf(err, "metric %s", suppressedMetric)
			}
			sum += n
		}
		if err := scanner.Err(); err != nil {
			return 0, eris.Wrap(err, "reading metrics")
		}
	}
	return sum, nil
}

// SlotUsage is the mean slot usage per backend server of a service, as logged by the nodes with each refused call of an interval.
type SlotUsage struct {
	Refusals               int
	Running, Queued, Limit float64 // running calls, queued calls, and slots
	SlotTime               time.Duration
}

// SlotUsageKey identifies a SlotUsage by interval and service.
type SlotUsageKey struct {
	From    time.Time
	Service string
}

// Losses summarises the requests in the logs of nodes that were not answered in time.
type Losses struct {
	Rows      []Loss // ordered by time, service, route and cause
	SlotUsage map[SlotUsageKey]SlotUsage
}

// The causes of losses.
const (
	CauseSlots        = "short of slots"
	CauseRetryRefused = "refused again after coming back"
	CauseLate         = "answered late"
	CauseLimit        = "limit of the backend server"
	CauseTeamLimit    = "limit of the team"
	CauseBlocked      = "crashes backend servers"
	CauseLink         = "link of the machine full"
	CauseCalls        = "called service short of room"
	CauseBackend      = "backend server"
	CauseNode         = "node lost"
	CauseNoEndpoint   = "no path"
	CauseCancelled    = "caller left"
	CauseOther        = "other"
)

// causes maps the field "reason" of request lines to a cause. Of the requests mapped to CauseSlots, the ones that the caller had
// already retried count as CauseRetryRefused; see causeOf.
var causes = map[string]string{
	"full": CauseSlots, "service_full": CauseSlots, "deadline_unreachable": CauseSlots, "backend_limit": CauseLimit, "request_blocked": CauseBlocked, "suspect_waits": CauseBlocked, "link_full": CauseLink, "calls_no_room": CauseCalls,
	"backend_shed": CauseBackend, "connection_lost": CauseBackend, "response_garbled": CauseBackend, "response_truncated": CauseBackend,
	"response_unsigned": CauseBackend, "backend_unreachable": CauseBackend, "deadline": CauseBackend, "other_instance": CauseBackend,
	"team_limit": CauseTeamLimit,
	"node_lost":  CauseNode, "other_node": CauseNode,
	"no_endpoint": CauseNoEndpoint, "no_backend": CauseNoEndpoint, "draining": CauseNoEndpoint, "stopping": CauseNoEndpoint, "other_service": CauseNoEndpoint, "no_configuration": CauseNoEndpoint,
	"cancelled": CauseCancelled,
}

// callerErrors are the reasons of refusals that any node would give: the request itself is not valid under the configuration.
var callerErrors = map[string]bool{
	"unknown_route": true, "bad_request": true, "body_too_large": true, "header_too_large": true, "body_timeout": true,
}

// causeOf returns the cause of loss for a request line, or "" if the request was answered in time or not valid.
func causeOf(l Line) string {
	if callerErrors[l.Fields["reason"]] {
		return ""
	}
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

// FindLosses counts the losses in the logs of any number of nodes, in intervals of length span. Lines that cannot be parsed are skipped.
func FindLosses(span time.Duration, logs ...io.Reader) (Losses, error) {
	counts := make(map[Loss]int)
	usage := make(map[SlotUsageKey]SlotUsage)
	err := forEachLine(logs, func(line Line) {
		from, service := line.Time.Truncate(span), line.Fields["service"]
		switch line.Event {
		case "request":
			if cause := causeOf(line); cause != "" {
				counts[Loss{From: from, Service: service, Route: line.Fields["route"], Cause: cause}]++
			}
		case "inbound":
			if limit := number(line, "limit"); limit > 0 {
				k := SlotUsageKey{from, service}
				usage[k] = usage[k].add(line, limit)
			}
		}
	})
	if err != nil {
		return Losses{}, err
	}
	losses := Losses{SlotUsage: usage}
	for loss, n := range counts {
		loss.Count = n
		losses.Rows = append(losses.Rows, loss)
	}
	slices.SortFunc(losses.Rows, func(a, b Loss) int {
		return cmp.Or(a.From.Compare(b.From), cmp.Compare(a.Service, b.Service), cmp.Compare(a.Route, b.Route), cmp.Compare(a.Cause, b.Cause))
	})
	return losses, nil
}

// add returns the usage with a refusal included in the means.
func (r SlotUsage) add(l Line, limit float64) SlotUsage {
	r.Refusals++
	weight := 1 / float64(r.Refusals)
	r.Running += (number(l, "running") - r.Running) * weight
	r.Queued += (number(l, "queued") - r.Queued) * weight
	r.Limit += (limit - r.Limit) * weight
	if slot, err := time.ParseDuration(l.Fields["slot_time"]); err == nil {
		r.SlotTime += time.Duration(float64(slot-r.SlotTime) * weight)
	}
	return r
}

// number parses a numeric field of a line. It returns 0 if the field is missing or not a number.
func number(l Line, field string) float64 {
	n, err := strconv.ParseFloat(l.Fields[field], 64)
	if err != nil {
		return 0
	}
	return n
}

// Causes returns the causes that occur, most frequent first.
func (l Losses) Causes() []string {
	counts := l.ByCause()
	return slices.SortedFunc(maps.Keys(counts), func(a, b string) int {
		return cmp.Or(cmp.Compare(counts[b], counts[a]), cmp.Compare(a, b))
	})
}

// ByCause returns the number of losses per cause.
func (l Losses) ByCause() map[string]int {
	counts := make(map[string]int)
	for _, row := range l.Rows {
		counts[row.Cause] += row.Count
	}
	return counts
}
