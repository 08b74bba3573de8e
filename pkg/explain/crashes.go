package explain

import (
	"cmp"
	"io"
	"slices"
	"strings"
	"time"
)

// CrashingRequest is a request that was running when backend servers crashed, from the logs of the nodes beside them.
type CrashingRequest struct {
	Fingerprint string    // the same for all attempts of callers of one service
	Crashes     int       // of different processes of backend servers
	Services    []string  // of these, in ascending order
	First, Last time.Time // crash
	ID          string    // of an attempt that was running at the last crash; the argument of FromLogs
	BlockedAt   time.Time // when the first node blocked it; zero: it was not blocked
}

// FindCrashingRequests returns the requests that were running at the given number of crashes or more, the most often present one first. Requests
// that only ran beside the cause of a crash are among those with one crash. Lines that cannot be parsed are skipped.
func FindCrashingRequests(minCrashes int, logs ...io.Reader) ([]CrashingRequest, error) {
	requests := make(map[string]*CrashingRequest)
	instances := make(map[string]map[string]bool) // by fingerprint
	get := func(fingerprint string) *CrashingRequest {
		r := requests[fingerprint]
		if r == nil {
			r = &CrashingRequest{Fingerprint: fingerprint}
			requests[fingerprint], instances[fingerprint] = r, make(map[string]bool)
		}
		return r
	}
	err := forEachLine(logs, func(line Line) {
		switch line.Event {
		case "backend_crashed":
			ids, fingerprints := splitList(line.Fields["ids"]), splitList(line.Fields["fingerprints"])
			for i, fingerprint := range fingerprints {
				r := get(fingerprint)
				instances[fingerprint][line.Fields["instance"]] = true
				r.observe(line, i, ids)
			}
		case "request_blocked":
			r := get(line.Fields["fingerprint"])
			if r.BlockedAt.IsZero() || line.Time.Before(r.BlockedAt) {
				r.BlockedAt = line.Time
			}
		}
	})
	if err != nil {
		return nil, err
	}
	var found []CrashingRequest
	for fingerprint, r := range requests {
		if r.Crashes = len(instances[fingerprint]); r.Crashes >= minCrashes {
			slices.Sort(r.Services)
			found = append(found, *r)
		}
	}
	slices.SortFunc(found, func(a, b CrashingRequest) int {
		return cmp.Or(cmp.Compare(b.Crashes, a.Crashes), a.First.Compare(b.First), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	return found, nil
}

// observe records a crash at which the request was the one at an index of the list of ids.
func (r *CrashingRequest) observe(crash Line, index int, ids []string) {
	if service := crash.Fields["service"]; !slices.Contains(r.Services, service) {
		r.Services = append(r.Services, service)
	}
	if r.First.IsZero() || crash.Time.Before(r.First) {
		r.First = crash.Time
	}
	if !crash.Time.Before(r.Last) {
		r.Last = crash.Time
		if index < len(ids) {
			r.ID = ids[index]
		}
	}
}

func splitList(text string) []string {
	if text == "" {
		return nil
	}
	return strings.Split(text, ",")
}
