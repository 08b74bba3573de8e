package sidecar

import (
	"errors"
	"net"
	"strconv"
	"sync"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/laburnumcleat/laburnumcleat/pkg/hop"
	"github.com/laburnumcleat/laburnumcleat/pkg/quarantine"
)

const (
	// crashProbeTimeout bounds the connection attempt that shows whether a backend server has crashed. It runs on the same VM.
	crashProbeTimeout = 100 * time.Millisecond
	// lossCollectTime is how long the requests are collected that an instance lost in a crash. All its connections break at once.
	lossCollectTime = 5 * time.Millisecond
	// maxLossWait bounds how long the result of a lost request is held back until it is known whether the instance has crashed.
	maxLossWait = 200 * time.Millisecond
)

// lostRequest is a request whose connection to the backend server broke.
type lostRequest struct {
	id string
	quarantine.Run
}

// crashDetector finds out whether an instance lost requests because it crashed. It is safe for concurrent use.
type crashDetector struct {
	mu      sync.Mutex
	pending *loss // being investigated; nil: none
}

// loss is a group of requests that an instance lost at the same time.
type loss struct {
	requests []lostRequest
	done     chan struct{} // closed when it is known whether the instance crashed
}

// join adds a request to the loss that is being investigated, or begins a new one and reports true.
func (d *crashDetector) join(q lostRequest) (l *loss, first bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if first = d.pending == nil; first {
		d.pending = &loss{done: make(chan struct{})}
	}
	d.pending.requests = append(d.pending.requests, q)
	return d.pending, first
}

// finish ends the investigation and returns the requests that were lost.
func (d *crashDetector) finish() []lostRequest {
	d.mu.Lock()
	defer d.mu.Unlock()
	requests := d.pending.requests
	d.pending = nil
	return requests
}

// isLoss reports whether a failed exchange may be due to a crash of the backend server.
func isLoss(f *hop.Failure) bool {
	return f.Sent && (f.Cause == hop.ConnectionLost || f.Cause == hop.Truncated)
}

// investigateLoss finds out whether an instance that lost a request has crashed. It returns when that is known, or after maxLossWait. If the request
// is blocked then, the reply says so, and its sender does not send it again.
func (in *inbound) investigateLoss(i *instance, c *call, r *hop.Request, reply *callReply) {
	l, first := i.crashes.join(lostRequest{r.ID, quarantine.Run{Request: c.identify(r), AsSuspect: c.sentAsSuspect}})
	if first {
		in.resolveLoss(i, l)
	} else {
		select {
		case <-l.done:
		case <-time.After(maxLossWait):
		}
	}
	if verdict, _ := in.verdict(c, r); verdict == quarantine.Blocked {
		reply.reason = reasonRequestBlocked
	}
}

// resolveLoss reports a crash if the instance no longer accepts connections.
func (in *inbound) resolveLoss(i *instance, l *loss) {
	defer close(l.done)
	crashed := refusesConnections(i.Address)
	if crashed {
		time.Sleep(lossCollectTime)
	}
	if requests := i.crashes.finish(); crashed {
		in.reportCrash(i, requests)
	}
}

// refusesConnections reports whether nothing listens on an address.
func refusesConnections(address string) bool {
	conn, err := net.DialTimeout("tcp", address, crashProbeTimeout)
	if err == nil {
		conn.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// reportCrash counts, logs and shares the crash of an instance and the requests that it was running.
func (in *inbound) reportCrash(i *instance, requests []lostRequest) {
	in.metrics.Inc("backend_crashed")
	var ids, fingerprints, suspects []string
	var runs []quarantine.Run
	for _, q := range requests {
		ids, fingerprints, runs = append(ids, q.id), append(fingerprints, q.Request.String()), append(runs, q.Run)
		if q.AsSuspect {
			suspects = append(suspects, q.Request.String())
		}
	}
	in.logger.Info("backend_crashed", zap.String("instance", i.ID), zap.String("service", i.Service), zap.Int("running", len(requests)),
		zap.Strings("ids", ids), zap.Strings("fingerprints", fingerprints), zap.Strings("suspects", suspects))
	in.onCrash(i.process(), runs)
}

// process returns a name for the process of the instance. A process crashes once, so the name also identifies the crash.
func (i *instance) process() string { return i.ID + "@" + strconv.FormatInt(i.StartTimeMS, 36) }

// identify returns the fingerprint of the call's request.
func (c *call) identify(r *hop.Request) quarantine.Fingerprint {
	if c.fingerprint == nil {
		fingerprint := fingerprintOf(c.caller, r)
		c.fingerprint = &fingerprint
	}
	return *c.fingerprint
}

// fingerprintOf returns the fingerprint of a request. It is the same for all attempts of callers of one service.
func fingerprintOf(caller string, r *hop.Request) quarantine.Fingerprint {
	length := int64(len(r.Body))
	if r.Stream != nil {
		length = r.Length
	}
	return quarantine.Request{Method: r.Method, Host: r.Host, Target: r.Target, Caller: caller, Body: r.Body, Length: length}.Fingerprint()
}
