package main

import (
	"bytes"
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/laburnumcleat/laburnumcleat/pkg/routing"
	"github.com/laburnumcleat/laburnumcleat/platform/wire"
)

const (
	orderBytes  = 4_000_000
	orders      = 10
	readOnAfter = 200 * time.Millisecond // after the answer at the time budget
)

// rest: backend servers answer 504 at the time budget before they have read a long body, keep the connection and read on later.
func rest(dir string, trouble bool, record *os.File) (bool, error) {
	var mu sync.Mutex
	sent, wrong, foreign := make(map[string]bool), 0, 0
	content := bytes.Repeat([]byte("f"), orderBytes)
	handle := func(w *world, a *arrival) bool {
		start := time.Now()
		mu.Lock()
		if !sent[a.id] {
			foreign++
			w.logf("%s runs %s %s with the id %q, which no client sent", a.backend.id, a.Method, a.URL.Path, a.id)
		}
		mu.Unlock()
		if a.Method == http.MethodGet {
			time.Sleep(50 * time.Millisecond)
			a.answer(http.StatusOK, []byte("record"), signed()...)
			return true
		}
		budget := func() {
			time.Sleep(time.Until(start.Add(a.left)))
			a.answer(http.StatusGatewayTimeout, nil, signed()...)
		}
		if trouble {
			budget()
			w.logf("%s answers %s 504 at its time budget of %v, before it has read the body", a.backend.id, a.id, a.left)
			time.Sleep(readOnAfter)
		}
		_ = a.conn.SetReadDeadline(time.Now().Add(5 * time.Second))
		body, err := io.ReadAll(a.Body)
		_ = a.conn.SetReadDeadline(time.Time{})
		if at := firstDifference(body, content); at >= 0 {
			mu.Lock()
			wrong++
			mu.Unlock()
			w.logf("%s reads other bytes at %d where the rest of the body of %s is due: %.60q", a.backend.id, at, a.id, body[at:])
		}
		w.logf("%s has read %d of %d bytes of %s: %v", a.backend.id, len(body), orderBytes, a.id, err)
		if err != nil {
			return false
		}
		if !trouble {
			budget()
		}
		return true
	}
	d := document([]routing.Route{
		{Name: "order", Host: host, PathPrefix: "/order/", Priority: 1, TargetMS: 300, TimeoutMS: 500, MaxAttempts: 2, Destinations: []routing.Destination{{Service: "dispatch", Weight: 1}}},
		{Name: "lookup", Host: host, PathPrefix: "/lookup/", Idempotent: true, Priority: 0, TargetMS: 800, TimeoutMS: 1200, MaxAttempts: 2, Destinations: []routing.Destination{{Service: "dispatch", Weight: 1}}},
	}, "dispatch")
	w, err := newWorld(dir, trouble, record, d, []string{"dispatch", "dispatch", "dispatch"}, handle)
	if err != nil {
		return false, err
	}
	defer w.close()
	send := func(n *node, method, path string, body []byte) (string, int) {
		id := w.newID()
		mu.Lock()
		sent[id] = true
		mu.Unlock()
		c, err := dial(n.callers)
		if err != nil {
			return id, 0
		}
		defer c.Close()
		length := -1
		if body != nil {
			length = len(body)
		}
		if _, err := c.Write(append(header(method, path+id, id, 2*time.Second, length), body...)); err != nil {
			return id, 0
		}
		r, _, err := c.response(method, 4*time.Second)
		if err != nil {
			return id, 0
		}
		return id, r.StatusCode
	}
	end := make(chan struct{})
	var running sync.WaitGroup
	for _, n := range w.nodes {
		running.Go(func() { // lookups one after the other at each node
			for {
				select {
				case <-end:
					return
				case <-time.After(20 * time.Millisecond):
				}
				if id, status := send(n, http.MethodGet, "/lookup/", nil); status != http.StatusOK {
					w.logf("lookup %s at %s ends with %d", id, n.id, status)
				}
			}
		})
	}
	for i := range orders {
		n := w.nodes[i%len(w.nodes)]
		running.Go(func() {
			id, status := send(n, http.MethodPost, "/order/", content)
			w.logf("order %s of %d bytes at %s is answered %d", id, orderBytes, n.id, status)
		})
		time.Sleep(800 * time.Millisecond)
	}
	time.Sleep(4 * time.Second)
	close(end)
	running.Wait()
	mu.Lock()
	defer mu.Unlock()
	w.logf("bodies in which backend servers read other bytes: %d; requests that no client sent: %d; %s", wrong, foreign, wire.Headers.RequestID)
	return wrong+foreign > 0, nil // rule UNASKED
}

// firstDifference returns the first index at which a differs from the beginning of b, or -1.
func firstDifference(a, b []byte) int {
	for i := range a {
		if i >= len(b) || a[i] != b[i] {
			return i
		}
	}
	return -1
}
