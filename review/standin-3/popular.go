package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/laburnumcleat/laburnumcleat/pkg/routing"
)

const (
	popularHost   = "hulo84.example"
	crashFor      = 4500 * time.Millisecond // srv_crash of the site file
	settleWindow  = 3 * time.Second
	steadyTime    = 15 * time.Second
	steadyPerSec  = 4
	configApply   = 2 * time.Second
	servedQuarter = 0.25
)

// playPopularRequest adds a route that many clients ask for the same thing. The trouble: all backends of its service crash once and come back.
func playPopularRequest(w *world, trouble bool) (bool, error) {
	for _, zone := range []string{"seeb", "nizwa"} {
		w.addNode("tracker", zone)
		w.addNode("records", zone).work = 300 * time.Millisecond
	}
	document := routing.Document{
		Version: 5, Limits: routing.Limits{HeaderBytes: 16384, BodyBytes: 1 << 20, HeaderTimeoutMS: 3000, IdleTimeoutMS: 15000},
		Services: []routing.Service{{Name: "tracker", HealthPath: healthPath, MaxConnections: 120}, {Name: "records", HealthPath: healthPath, MaxConnections: 120}},
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

	var clients sync.WaitGroup
	sent := 0
	// All requests come from the machines of tracker: its backends look up the rates.
	callers := []*node{w.nodes[0], w.nodes[2]}
	next := make(map[string]int) // caller, by target
	ask := func(target string, budget time.Duration, count func(answer)) {
		sent++
		next[target[:4]]++
		id, n := fmt.Sprintf("%016x", 0xb000+sent), callers[next[target[:4]]%len(callers)]
		clients.Go(func() { count(w.send(n, http.MethodGet, popularHost, target, id, "", budget)) })
	}
	ignore := func(answer) {}
	for i := range 160 { // 4 s of the usual load
		ask("/rates/today", 2*time.Second, ignore)
		if i == 120 && trouble {
			w.note("trouble: all backends of records crash")
			for _, n := range w.nodes {
				if n.service == "records" {
					_ = n.backend.Process.Kill() // an error means that it has ended
				}
			}
			break
		}
		time.Sleep(25 * time.Millisecond)
	}
	clients.Wait()
	time.Sleep(crashFor)
	if trouble {
		begun := time.Now()
		for _, n := range w.nodes {
			if n.service == "records" {
				_ = n.backend.Wait() // it was killed
				if err := n.startBackend(); err != nil {
					return false, err
				}
			}
		}
		if err := w.await(10*time.Second, "the backends", func() bool { return len(w.backendsReady(begun)) == len(w.nodes) }); err != nil {
			return false, err
		}
		w.note("the backends of records are back, and their reports are acknowledged")
	}
	time.Sleep(2 * settleWindow)

	w.note("steady state")
	var mu sync.Mutex
	var first, added, firstServed, addedServed int
	counter := func(all, served *int) func(answer) {
		return func(a answer) {
			mu.Lock()
			defer mu.Unlock()
			*all++
			if a.status == http.StatusOK && a.signed {
				*served++
			}
		}
	}
	for i := range int(steadyTime.Seconds()) * steadyPerSec {
		ask(fmt.Sprintf("/eta/%d", i), time.Second, counter(&first, &firstServed))
		ask("/rates/today", 2*time.Second, counter(&added, &addedServed))
		time.Sleep(time.Second / steadyPerSec)
	}
	clients.Wait()
	w.note("first route: %d of %d served; route added later: %d of %d served", firstServed, first, addedServed, added)
	shareFirst, shareAdded := float64(firstServed)/float64(first), float64(addedServed)/float64(added)
	return added >= 20 && shareAdded < servedQuarter*shareFirst, nil
}
