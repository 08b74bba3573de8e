package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/laburnumcleat/laburnumcleat/pkg/announce"
)

const (
	leaveAfter   = 100 * time.Millisecond // the latest report
	lateServing  = 12 * time.Second       // for which the leaving server goes on serving
	killAfter    = 200 * time.Millisecond // the ack
	downTime     = 500 * time.Millisecond
	firstArrival = 500 * time.Millisecond // of the late reports, after the process is back
	lateGap      = 500 * time.Millisecond
)

// lateReports checks DRAIN: a server says that it leaves, the machine acknowledges that, its process is killed and started again, and two
// reports that the server had sent before arrive late.
func lateReports(f *fleet, trouble bool) (bool, error) {
	var servers []*server
	var all []*beats
	for i, zone := range []string{"seeb", "nizwa", "sohar"} {
		s, err := newServer(f, fmt.Sprintf("i-%d", i+1), 50*time.Millisecond)
		if err != nil {
			return false, err
		}
		service := "records"
		if i == 2 {
			service = "tracker"
		}
		n := f.addNode(zone, service, s.address(), nil)
		if err := f.start(n); err != nil {
			return false, err
		}
		servers, all = append(servers, s), append(all, newBeats(f, n, s.id, 9))
		go all[i].run()
	}
	leaver, beside, remote := servers[0], f.nodes[0], f.nodes[2]
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
	for c, n := range []*node{remote, remote, f.nodes[1]} {
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
	time.Sleep(3 * time.Second)
	// The last two reports of the server are under way for seconds. It leaves without saying that it is draining.
	all[0].halt()
	var late []announce.Announcement
	var sentAt []time.Time
	for i := range 2 {
		if i > 0 {
			time.Sleep(beatInterval)
		}
		late, sentAt = append(late, all[0].take(false)), append(sentAt, time.Now())
		f.printf("report %d of %s is sent; it is ready and will arrive late", late[i].Sequence, leaver.id)
	}
	time.Sleep(leaveAfter)
	leaver.leaving.Store(true)
	if !all[0].leave() {
		return false, fmt.Errorf("DELETE was not acknowledged")
	}
	ack := time.Now()
	time.Sleep(killAfter)
	f.signal(beside, syscall.SIGKILL)
	time.Sleep(downTime)
	if err := f.restart(beside); err != nil {
		return false, err
	}
	up := time.Now()
	if trouble {
		time.Sleep(firstArrival)
		for i, a := range late {
			f.printf("report %d arrives %v late", a.Sequence, time.Since(sentAt[i]).Round(time.Millisecond))
			all[0].send(a)
			time.Sleep(lateGap)
		}
	}
	time.Sleep(time.Until(ack.Add(lateServing)))
	close(stop)
	clients.Wait()
	from := ack.Add(drainBound)
	if settled := up.Add(settleWindow); settled.After(from) {
		from = settled
	}
	after, early := 0, 0
	for _, e := range leaver.executions() {
		switch {
		case e.at.After(from):
			if after++; after <= 20 {
				f.printf("request %s reached %s %v after the ack, %v after the start of the process beside it", e.id, leaver.id, e.at.Sub(ack).Round(time.Millisecond), e.at.Sub(up).Round(time.Millisecond))
			}
		case e.at.After(ack.Add(drainBound)):
			early++
		}
	}
	f.printf("%d requests reached %s later than %v after the ack and with all machines in touch; %d more before the machine was in touch", after, leaver.id, drainBound, early)
	return after == 0, nil
}
