package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"

	"github.com/laburnumcleat/laburnumcleat/pkg/routing"
)

const (
	freezeTime    = 4 * time.Second // node_freeze; 5 s if a day states none
	leaveRequests = 40
)

// playLateLeave adds a route to a service with one backend, and restarts that under its id, as planned work. The trouble: the process beside it stands
// still meanwhile.
func playLateLeave(w *world, trouble bool) (bool, error) {
	for _, zone := range []string{"seeb", "nizwa", "sohar"} {
		w.addNode("tracker", zone)
		w.addNode("tracker", zone)
		w.addNode("dispatch", zone)
	}
	records := w.addNode("records", "sohar")
	records.keepsID = true
	document := routing.Document{
		Version: 5, Limits: routing.Limits{HeaderBytes: 16384, BodyBytes: 1 << 20, HeaderTimeoutMS: 3000, IdleTimeoutMS: 15000},
		Services: []routing.Service{{Name: "tracker", HealthPath: healthPath, MaxConnections: 120}, {Name: "dispatch", HealthPath: healthPath, MaxConnections: 120},
			{Name: "records", HealthPath: healthPath, MaxConnections: 120}},
		Routes: []routing.Route{
			{Name: "eta", Host: popularHost, PathPrefix: "/eta/", Idempotent: true, TargetMS: 400, TimeoutMS: 1000, MaxAttempts: 2, Destinations: []routing.Destination{{Service: "tracker", Weight: 1}}},
		},
	}
	if err := w.startAll(&document); err != nil {
		return false, err
	}
	later := document
	later.Version = 9
	later.Routes = append(later.Routes[:1:1], routing.Route{
		Name: "rates", Host: popularHost, PathPrefix: "/rates/", Idempotent: true, TargetMS: 800, TimeoutMS: 2000, MaxAttempts: 2,
		Destinations: []routing.Destination{{Service: "records", Weight: 1}},
	})
	if err := w.publish(&later); err != nil {
		return false, err
	}
	time.Sleep(configApply + time.Second)

	if trouble {
		w.note("trouble: the process %s stands still for %v", records.id, freezeTime)
		if err := records.sidecar.Process.Signal(syscall.SIGSTOP); err != nil {
			return false, err
		}
	}
	frozen := time.Now()
	w.note("planned work: the backend of records leaves, and starts again under its id")
	if err := records.order("leave"); err != nil {
		return false, err
	}
	_ = records.backend.Wait() // it ends by itself, with status 0
	time.Sleep(300 * time.Millisecond)
	if err := records.startBackend(); err != nil {
		return false, err
	}
	time.Sleep(time.Until(frozen.Add(freezeTime)))
	if trouble {
		if err := records.sidecar.Process.Signal(syscall.SIGCONT); err != nil {
			return false, err
		}
		w.note("the process goes on")
	}
	begun := time.Now()
	isReady := func() bool { return len(w.backendsReady(begun)) == len(w.nodes) && w.allReady() }
	if err := w.await(10*time.Second, "acknowledged reports of all backends", isReady); err != nil {
		return false, err
	}
	w.note("all nodes are ready, and the reports of all backends are acknowledged")
	time.Sleep(3 * settleWindow)

	w.note("steady state")
	firstServed, addedServed := 0, 0
	for i := range leaveRequests {
		n := w.nodes[i%len(w.nodes)]
		if a := w.send(n, http.MethodGet, popularHost, fmt.Sprintf("/eta/%d", i), fmt.Sprintf("%016x", 0xc000+2*i), "", time.Second); a.status == http.StatusOK && a.signed {
			firstServed++
		}
		if a := w.send(n, http.MethodGet, popularHost, fmt.Sprintf("/rates/%d", i), fmt.Sprintf("%016x", 0xc001+2*i), "", 2*time.Second); a.status == http.StatusOK && a.signed {
			addedServed++
		}
		time.Sleep(100 * time.Millisecond)
	}
	w.note("first route: %d of %d served; route added later: %d of %d served; reports of the backend acknowledged meanwhile: %d", firstServed, leaveRequests,
		addedServed, leaveRequests, w.reportsOf(records.service, begun))
	return float64(addedServed) < servedQuarter*float64(firstServed), nil
}

// reportsOf returns the number of reports of a service's backends that were acknowledged since a time.
func (w *world) reportsOf(service string, since time.Time) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, e := range w.events {
		if e.Kind == "ready" && e.Service == service && e.AtMS >= since.UnixMilli() {
			n++
		}
	}
	return n
}
