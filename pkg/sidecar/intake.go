package sidecar

import (
	"math"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/laburnumcleat/laburnumcleat/pkg/admission"
)

// limitLogInterval is the time between log lines while a backend server names a limit.
const limitLogInterval = 5 * time.Second

// intakeState holds what an instance last said about the requests that it takes, and the requests that it got. All requests for the instance pass
// this node, so that the rate limit of its admission is exact for the fleet. It is safe for concurrent use.
type intakeState struct {
	admission *admission.Controller

	mu       sync.Mutex
	limited  bool
	limit    float64   // requests a second, if limited
	namedAt  time.Time // arrival of the latest response that named a limit
	requests int64     // handed to the instance since the latest report
	reported time.Time // time of the latest report; at first, of the start
}

// countRequest counts a request that is handed to the instance.
func (s *intakeState) countRequest() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests++
}

// limitReport is the content of a log line about a limit.
type limitReport struct {
	limited, wasLimited bool
	limit, previous     float64 // requests a second
	requests            int64   // handed to the instance during the time over
	over                time.Duration
}

// observe applies a response to a request that was handed to the instance at sent. A response without a limit lifts the earlier one only if its
// request is newer than the latest response that named it: responses overtake each other. It returns a report when one is due.
func (s *intakeState) observe(now, sent time.Time, intake Intake) *limitReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	previous := limitReport{limited: s.limited, limit: s.limit}
	switch {
	case intake.Limited:
		s.limited, s.limit, s.namedAt = true, intake.Limit, now
	case s.limited && sent.After(s.namedAt):
		s.limited, s.limit = false, 0
	}
	if s.limited != previous.limited || s.limit != previous.limit {
		s.apply()
	}
	// A limit that changes with each response is logged as one that holds on.
	if s.limited == previous.limited && (!s.limited || now.Sub(s.reported) < limitLogInterval) {
		return nil
	}
	report := &limitReport{limited: s.limited, limit: s.limit, wasLimited: previous.limited, previous: previous.limit, requests: s.requests, over: now.Sub(s.reported)}
	s.requests, s.reported = 0, now
	return report
}

// apply makes the admission keep to the limit in force. The caller must hold mu.
func (s *intakeState) apply() {
	if s.limited {
		s.admission.SetRateLimit(s.limit)
	} else {
		s.admission.LiftRateLimit()
	}
}

// observeIntake applies what a response of the backend server says about the requests that it takes. A malformed limit is counted, and the
// one in force stays.
func (in *inbound) observeIntake(i *instance, sent time.Time, header http.Header) {
	intake, err := in.readIntake(header)
	if err != nil {
		in.metrics.Inc("backend_limit_unreadable")
		if in.logLimit.Allow() {
			in.logger.Warn("backend_limit_unreadable", zap.String("instance", i.ID), zap.Error(err), zap.String("remedy", "correct the backend server"))
		}
	} else if report := i.intake.observe(time.Now(), sent, intake); report != nil {
		in.reportLimit(i, report)
	}
	if intake.Leaving {
		in.metrics.Inc("backend_leaving_responses")
		if !i.draining.Load() {
			in.onLeaving(i)
		}
	}
}

// reportLimit logs a limit that was named, changed, holds on or was lifted.
func (in *inbound) reportLimit(i *instance, r *limitReport) {
	const secondsPerMinute = 60
	in.metrics.Gauge("backend_limit_per_minute").Update(int64(math.Round(r.limit * secondsPerMinute)))
	if !in.logLimit.Allow() {
		in.metrics.Inc("log_limited", "event", "backend_limit")
		return
	}
	in.logger.Info("backend_limit", zap.String("instance", i.ID), zap.String("service", i.Service), zap.Bool("limited", r.limited), zap.Float64("limit", r.limit),
		zap.Bool("was_limited", r.wasLimited), zap.Float64("previous", r.previous), zap.Int64("requests", r.requests), zap.Duration("over", r.over))
}
