package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/laburnumcleat/laburnumcleat/pkg/announce"
)

const (
	foreignClients = 12
	foreignTime    = 12 * time.Second // of traffic after the report of another writer
)

// foreignReport checks UNASKED: a liveness report of another writer, with a field missing, arrives at a machine. It names no backend to use.
func foreignReport(f *fleet, trouble bool) (bool, error) {
	services := []string{"records", "records", "tracker"}
	var servers []*server
	for i, zone := range []string{"seeb", "nizwa", "sohar"} {
		s, err := newServer(f, fmt.Sprintf("i-%d", i+1), 30*time.Millisecond)
		if err != nil {
			return false, err
		}
		n := f.addNode(zone, services[i], s.address(), nil)
		if err := f.start(n); err != nil {
			return false, err
		}
		servers = append(servers, s)
		go newBeats(f, n, s.id, 9).run()
	}
	if err := f.store.Publish(document(1, route("history", "records", true, 800*time.Millisecond, 2*time.Second, 2), route("eta", "tracker", true, 800*time.Millisecond, 2*time.Second, 2))); err != nil {
		return false, err
	}
	err := await(func() bool {
		for _, n := range f.nodes {
			if !n.ready() || get(n, "warm").status != http.StatusOK || send(n, http.MethodGet, "eta", "warm", 2*time.Second).status != http.StatusOK {
				return false
			}
		}
		return true
	})
	if err != nil {
		return false, err
	}
	time.Sleep(settleWindow)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for c := range foreignClients {
		n := f.nodes[c%len(f.nodes)]
		clients.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-time.After(25 * time.Millisecond):
				}
				id, route := fmt.Sprintf("get-%d-%02d-%04d", c%len(f.nodes), c, i), []string{"history", "eta"}[i%2]
				if a := send(n, http.MethodGet, route, id, 2*time.Second); a.status != http.StatusOK {
					f.printf("client at %s: request %s: status %d, error %v", n.settings.ID, id, a.status, a.err)
				}
			}
		})
	}
	time.Sleep(3 * time.Second)
	if trouble {
		if err := f.reportOfAnotherWriter(f.nodes[0]); err != nil {
			return false, err
		}
	}
	time.Sleep(foreignTime)
	close(stop)
	clients.Wait()
	ran, wrong := 0, 0
	for _, s := range servers {
		for _, e := range s.executions() {
			var at int
			if _, err := fmt.Sscanf(e.id, "get-%d-", &at); err != nil {
				continue // of the start
			}
			ran++
			if e.caller != services[at] {
				if wrong++; wrong <= 20 {
					f.printf("%s ran request %s of %s (%s) with the caller service %q", s.id, e.id, f.nodes[at].settings.ID, services[at], e.caller)
				}
			}
		}
	}
	f.printf("%d requests ran, %d of them with the service of another machine as their caller", ran, wrong)
	return wrong == 0, nil
}

// reportOfAnotherWriter sends a report without the field "zone".
func (f *fleet) reportOfAnotherWriter(n *node) error {
	a := announce.Announcement{ID: "i-stray", Service: "tracker", Address: n.settings.Backend.Address, Version: "v1", Slots: 9, Sequence: 1, StartTimeMS: time.Now().UnixMilli()}
	status, err := n.report(a, "")
	f.printf("report of another writer to %s, without a zone: %+v: status %d, error %v", n.settings.ID, a, status, err)
	return err
}
