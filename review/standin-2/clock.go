package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	clockAhead   = 2 * time.Second        // x of clock_step, by which the time of day is ahead when the server starts
	firstBoot    = 800 * time.Millisecond // until the server crashes; the time of day has jumped back
	crashTime    = 400 * time.Millisecond // until it starts again
	secondBoot   = 6 * time.Second        // until it says that it is leaving
	stepClients  = 49
	clockServing = 8 * time.Second // for which it goes on serving then
)

// clockStep checks DRAIN: a server starts while the time of day is ahead, crashes after it has jumped back, starts again under its id, and leaves
// some seconds later.
func clockStep(f *fleet, trouble bool) (bool, error) {
	var servers []*server
	var all []*beats
	zones := []string{"seeb", "seeb", "seeb", "nizwa", "nizwa", "sohar", "sohar", "sohar"}
	for i, zone := range zones {
		s, err := newServer(f, fmt.Sprintf("i-%d", i+1), 50*time.Millisecond)
		if err != nil {
			return false, err
		}
		service := "records"
		if i == len(zones)-1 {
			service = "tracker"
		}
		n := f.addNode(zone, service, s.address(), nil)
		if err := f.start(n); err != nil {
			return false, err
		}
		servers, all = append(servers, s), append(all, newBeats(f, n, s.id, 9))
		if i > 0 {
			go all[i].run()
		}
	}
	leaver := servers[0]
	if err := f.store.Publish(document(1, route("history", "records", true, 800*time.Millisecond, 2*time.Second, 2), route("eta", "tracker", true, 800*time.Millisecond, 2*time.Second, 2))); err != nil {
		return false, err
	}
	err := await(func() bool {
		for _, n := range f.nodes {
			if !n.ready() || get(n, "warm").status != http.StatusOK {
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
	for c := range stepClients {
		n := f.nodes[1+c%(len(zones)-1)]
		clients.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-time.After(25 * time.Millisecond):
				}
				id := fmt.Sprintf("get-%d-%04d", c, i)
				if a := get(n, id); a.status != http.StatusOK {
					f.printf("client at %s: request %s: status %d, error %v", n.settings.ID, id, a.status, a.err)
				}
			}
		})
	}
	born := time.Now()
	if trouble {
		born = born.Add(clockAhead)
	}
	first := newBeats(f, f.nodes[0], leaver.id, 9)
	first.next.StartTimeMS = born.UnixMilli()
	f.printf("%s starts; by the time of day it is born at %d, %v from now", leaver.id, born.UnixMilli(), time.Until(born).Round(time.Millisecond))
	go first.run()
	time.Sleep(firstBoot)
	first.halt()
	f.printf("the time of day is right again; %s crashes", leaver.id)
	leaver.crash()
	time.Sleep(crashTime)
	if err := leaver.listen(); err != nil {
		return false, err
	}
	second := newBeats(f, f.nodes[0], leaver.id, 9)
	f.printf("%s starts again under its id; it is born at %d", leaver.id, second.next.StartTimeMS)
	go second.run()
	time.Sleep(secondBoot)
	leaver.leaving.Store(true)
	if !second.send(second.take(true)) {
		return false, fmt.Errorf("the report of draining was not acknowledged")
	}
	ack := time.Now() // later reports say draining as well
	time.Sleep(clockServing)
	second.halt()
	second.leave()
	close(stop)
	clients.Wait()
	late, before := 0, 0
	for _, e := range leaver.executions() {
		switch {
		case e.at.Before(ack):
			before++
		case e.at.After(ack.Add(drainBound)):
			if late++; late <= 20 {
				f.printf("request %s reached %s %v after the ack", e.id, leaver.id, e.at.Sub(ack).Round(time.Millisecond))
			}
		}
	}
	f.printf("%d requests reached %s before the ack, %d later than %v after it", before, leaver.id, late, drainBound)
	return late == 0, nil
}
