package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/laburnumcleat/laburnumcleat/pkg/routing"
	"github.com/laburnumcleat/laburnumcleat/platform/wire"
)

const (
	configApply   = 2 * time.Second
	largeUnit     = 100_000_000 // one tenth, if weights are given in parts of a thousand million
	smallUnit     = 10
	weightedCount = 3
)

// weights: the operator moves a route to another service, and gives the services of other routes new weights, in parts of a thousand million.
func weights(dir string, trouble bool, record *os.File) (bool, error) {
	var mu sync.Mutex
	ranAt := make(map[string]string) // service by request
	handle := func(_ *world, a *arrival) bool {
		mu.Lock()
		ranAt[a.id] = a.backend.service
		mu.Unlock()
		time.Sleep(20 * time.Millisecond)
		a.answer(http.StatusOK, []byte("eta"), signed()...)
		return true
	}
	route := func(prefix string, to ...routing.Destination) routing.Route {
		return routing.Route{Name: "r" + prefix, Host: host, PathPrefix: prefix, Idempotent: true, TargetMS: 400, TimeoutMS: 1000, MaxAttempts: 2, Destinations: to}
	}
	configuration := func(version uint64, etaService string, unit int) *routing.Document {
		routes := []routing.Route{route("/eta/", routing.Destination{Service: etaService, Weight: 1})}
		for i := range weightedCount {
			routes = append(routes, route(fmt.Sprintf("/split-%d/", i), routing.Destination{Service: "tracker", Weight: 9 * unit}, routing.Destination{Service: "dispatch", Weight: unit}))
		}
		d := document(routes, "tracker", "dispatch")
		d.Version = version
		return d
	}
	w, err := newWorld(dir, trouble, record, configuration(7, "tracker", smallUnit), []string{"tracker", "dispatch", "tracker", "dispatch"}, handle)
	if err != nil {
		return false, err
	}
	defer w.close()
	type sent struct {
		id, node string
		at       time.Time
	}
	var requests []sent
	end := make(chan struct{})
	var running sync.WaitGroup
	for _, n := range w.nodes {
		running.Go(func() {
			for {
				select {
				case <-end:
					return
				case <-time.After(50 * time.Millisecond):
				}
				c, err := dial(n.callers)
				if err != nil {
					continue
				}
				s := sent{w.newID(), n.id, time.Now()}
				mu.Lock()
				requests = append(requests, s)
				mu.Unlock()
				if _, err := c.Write(header(http.MethodGet, "/eta/"+s.id, s.id, time.Second, -1)); err == nil {
					_, _, _ = c.response(http.MethodGet, 2*time.Second)
				}
				c.Close()
			}
		})
	}
	time.Sleep(2 * time.Second)
	unit := smallUnit
	if trouble {
		unit = largeUnit
	}
	if err := w.store.Publish(configuration(8, "dispatch", unit)); err != nil {
		return false, err
	}
	acknowledged := time.Now()
	w.logf("the store acknowledges version 8 (%s), which moves /eta/ from tracker to dispatch; weights %d and %d", wire.ConfigKey, 9*unit, unit)
	time.Sleep(20 * time.Second)
	close(end)
	running.Wait()
	late, last := 0, time.Duration(0)
	for _, s := range requests {
		if after := s.at.Sub(acknowledged); after > configApply && ranAt[s.id] == "tracker" {
			late++
			last = max(last, after)
			w.logf("request %s was sent to %s %v after the ack and run by tracker", s.id, s.node, after.Round(time.Millisecond))
		}
	}
	w.logf("requests sent later than %v after the ack and handled as only version 7 allows: %d; the last one %v after the ack", configApply, late, last.Round(time.Millisecond))
	return late > 0, nil // rule CONFIG
}
