package main

import (
	"bytes"
	"io"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/laburnumcleat/laburnumcleat/pkg/routing"
)

const (
	ordering     = 24 // clients of each node that send orders on kept connections
	leaving      = 6  // clients of each node that leave, or, without the disruption, stay
	smallOrder   = 20_000
	leavingOrder = 200_000
	orderWork    = 8 * time.Millisecond
	leaveTime    = 48 * time.Second
	leaveSpell   = 5500 * time.Millisecond // in which they leave
	leaveEvery   = 8 * time.Second
)

// leave: a fifth of the clients send a lookup and, behind it, a long upload, and leave while they send that. The answer to the lookup is still
// unread then, so that the close resets the connection. The others send orders on kept connections.
func leave(dir string, trouble bool, record *os.File) (bool, error) {
	var mu sync.Mutex
	bodies := make(map[string]byte) // content of the request's body, by id
	ran := make(map[string]bool)
	var changed, answered, lost, cut, left atomic.Int64
	statuses := make(map[int]int)
	handle := func(w *world, a *arrival) bool {
		body, err := io.ReadAll(a.Body)
		if err != nil {
			return false // the request is not complete, and does not run
		}
		mu.Lock()
		content, known := bodies[a.id]
		ran[a.id] = true
		mu.Unlock()
		switch {
		case !known:
			changed.Add(1)
			w.logf("%s runs %s %s with the id %q, which no client sent", a.backend.id, a.Method, a.URL.Path, a.id)
		case a.Method != http.MethodPost && a.Method != http.MethodPut && a.Method != http.MethodGet:
			changed.Add(1)
			w.logf("%s runs %s with the method %q", a.backend.id, a.id, a.Method)
		default:
			if i := bytes.IndexFunc(body, func(r rune) bool { return byte(r) != content }); i >= 0 {
				changed.Add(1)
				w.logf("%s runs %s with another body: at %d of %d bytes, it has %.70q instead of %q", a.backend.id, a.id, i, len(body), body[i:], content)
			}
		}
		time.Sleep(orderWork)
		a.answer(http.StatusOK, []byte("ordered"), signed()...)
		return true
	}
	d := document([]routing.Route{
		{Name: "order", Host: host, PathPrefix: "/order/", Priority: 1, TargetMS: 500, TimeoutMS: 1200, MaxAttempts: 2, Destinations: []routing.Destination{{Service: "dispatch", Weight: 1}}},
		{Name: "read", Host: host, PathPrefix: "/read/", Idempotent: true, Priority: 1, TargetMS: 500, TimeoutMS: 1200, MaxAttempts: 2, Destinations: []routing.Destination{{Service: "dispatch", Weight: 1}}},
	}, "dispatch")
	w, err := newWorld(dir, trouble, record, d, []string{"dispatch", "dispatch", "dispatch"}, handle)
	if err != nil {
		return false, err
	}
	defer w.close()
	w.restart = true
	newOrder := func() (string, byte) {
		id := w.newID()
		mu.Lock()
		defer mu.Unlock()
		bodies[id] = byte('a' + len(bodies)%26)
		return id, bodies[id]
	}
	start := time.Now()
	end := start.Add(leaveTime)
	var running sync.WaitGroup
	for _, n := range w.nodes {
		for range ordering {
			running.Go(func() {
				var c *client
				for time.Now().Before(end) {
					if c == nil {
						var err error
						if c, err = dial(n.callers); err != nil {
							c = nil
							time.Sleep(50 * time.Millisecond)
							continue
						}
					}
					id, content := newOrder()
					body := bytes.Repeat([]byte{content}, smallOrder)
					_, err := c.Write(append(header(http.MethodPost, "/order/"+id, id, 1200*time.Millisecond, smallOrder), body[:smallOrder/2]...))
					time.Sleep(time.Millisecond)
					if err == nil {
						_, err = c.Write(body[smallOrder/2:])
					}
					var r *http.Response
					if err == nil {
						r, _, err = c.response(http.MethodPost, 3*time.Second)
					}
					if err != nil {
						mu.Lock()
						passedOn := ran[id]
						mu.Unlock()
						if passedOn {
							lost.Add(1)
							w.logf("order %s at %s was passed on to a sound backend server, and its connection ends without an answer: %v", id, n.id, err)
						} else {
							cut.Add(1)
						}
						c.Close()
						c = nil
						continue
					}
					answered.Add(1)
					mu.Lock()
					statuses[r.StatusCode]++
					mu.Unlock()
					if r.StatusCode != http.StatusOK {
						w.logf("order %s at %s is answered %d", id, n.id, r.StatusCode)
					}
					if r.Close {
						c.Close()
						c = nil
					}
				}
				if c != nil {
					c.Close()
				}
			})
		}
		for range leaving {
			running.Go(func() {
				for time.Now().Before(end) {
					c, err := dial(n.callers)
					if err != nil {
						time.Sleep(50 * time.Millisecond)
						continue
					}
					lookup, _ := newOrder()
					id, content := newOrder()
					body := bytes.Repeat([]byte{content}, leavingOrder)
					out := header(http.MethodGet, "/read/"+lookup, lookup, 1200*time.Millisecond, -1)
					out = append(out, header(http.MethodPut, "/read/"+id, id, 1200*time.Millisecond, leavingOrder)...)
					_, err = c.Write(append(out, body[:leavingOrder/4]...))
					time.Sleep(40 * time.Millisecond)
					if trouble && time.Since(start)%leaveEvery < leaveSpell {
						left.Add(1)
					} else if err == nil {
						if _, err = c.Write(body[leavingOrder/4:]); err == nil {
							_, _, _ = c.response(http.MethodGet, 3*time.Second)
							_, _, _ = c.response(http.MethodPut, 3*time.Second)
						}
					}
					c.Close()
				}
			})
		}
	}
	running.Wait()
	w.logf("orders: %d answered, by status %v; %d were not passed on and have no answer", answered.Load(), statuses, cut.Load())
	w.logf("orders that were passed on to a sound backend server and whose connection was closed without an answer: %d", lost.Load())
	w.logf("requests that backend servers ran with a changed method or body, or that no client sent: %d", changed.Load())
	w.logf("clients that left: %d; how often one of the %d processes ended by itself: %d", left.Load(), len(w.nodes), w.ends.Load())
	return lost.Load() > 3, nil // rule LOST: more than three times
}
