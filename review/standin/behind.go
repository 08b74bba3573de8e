package main

import (
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/laburnumcleat/laburnumcleat/pkg/routing"
	"github.com/laburnumcleat/laburnumcleat/platform/wire"
)

const (
	exportBytes  = 2 << 20
	exportTime   = 25 * time.Second // of the traffic
	spoiledOneIn = 50               // of the answers of one backend server of three are broken off
	behindCount  = 3                // lookups that a client sends behind an export
	exporters    = 1                // clients of each node
	behindWork   = 20 * time.Millisecond
	spell        = 5500 * time.Millisecond // in which answers are broken off
	spellEvery   = 8 * time.Second
)

// behind: one backend server of three breaks off one in 50 of its answers, for 5.5 s at a time. Clients send lookups behind the request for a long answer.
func behind(dir string, trouble bool, record *os.File) (bool, error) {
	var mu sync.Mutex
	soundRuns := make(map[string]bool) // lookups that a sound backend server has run and answered
	var answers, brokenOff atomic.Int64
	var garbling *backend
	handle := func(w *world, a *arrival) bool {
		if a.URL.Path[:8] != "/export/" {
			time.Sleep(behindWork)
			mu.Lock()
			soundRuns[a.id] = a.backend != garbling
			mu.Unlock()
			a.answer(http.StatusOK, []byte("record"), signed()...)
			return true
		}
		time.Sleep(60 * time.Millisecond)
		body := make([]byte, exportBytes)
		if trouble && time.Since(w.start)%spellEvery < spell && a.backend == garbling && answers.Add(1)%spoiledOneIn == 0 {
			brokenOff.Add(1)
			_, _ = a.conn.Write(append(a.head(http.StatusOK, exportBytes, signed()...), body[:exportBytes*3/4]...))
			w.logf("%s breaks off its answer to export %s", a.backend.id, a.id)
			return false
		}
		a.answer(http.StatusOK, body, signed()...)
		return true
	}
	d := document([]routing.Route{
		{Name: "export", Host: host, PathPrefix: "/export/", Idempotent: true, Priority: 1, TargetMS: 800, TimeoutMS: 3000, MaxAttempts: 2, Destinations: []routing.Destination{{Service: "records", Weight: 1}}},
		{Name: "lookup", Host: host, PathPrefix: "/lookup/", Idempotent: true, Priority: 0, TargetMS: 800, TimeoutMS: 1200, MaxAttempts: 2, Destinations: []routing.Destination{{Service: "tracker", Weight: 1}}},
	}, "records", "tracker")
	w, err := newWorld(dir, trouble, record, d, []string{"records", "records", "records", "tracker", "tracker", "tracker"}, handle)
	if err != nil {
		return false, err
	}
	defer w.close()
	garbling = w.nodes[0].backend
	var lost, answered atomic.Int64
	end := time.Now().Add(exportTime)
	var running sync.WaitGroup
	for _, n := range w.nodes {
		for range exporters {
			running.Go(func() {
				var c *client
				for time.Now().Before(end) {
					if c == nil {
						var err error
						if c, err = dial(n.callers); err != nil {
							c = nil
							time.Sleep(100 * time.Millisecond)
							continue
						}
					}
					ids := []string{w.newID()}
					out := header(http.MethodGet, "/export/"+ids[0], ids[0], 3*time.Second, -1)
					for range behindCount {
						id := w.newID()
						ids = append(ids, id)
						out = append(out, header(http.MethodGet, "/lookup/"+id, id, 1200*time.Millisecond, -1)...)
					}
					_, err := c.Write(out)
					for i := 0; i < len(ids); i++ {
						var r *http.Response
						if err == nil {
							r, _, err = c.response(http.MethodGet, 4*time.Second)
						}
						mu.Lock()
						sound := soundRuns[ids[i]]
						mu.Unlock()
						switch {
						case err == nil && (r.Header.Get(wire.Headers.RequestID) != ids[i]):
							w.logf("%s gets another answer", ids[i])
						case err == nil:
							answered.Add(1)
						case i > 0 && sound:
							lost.Add(1)
							w.logf("lookup %s at %s was passed on to a sound backend server, which answered it, and its connection is closed without an answer", ids[i], n.id)
						}
					}
					if err != nil {
						c.Close()
						c = nil
					}
				}
				if c != nil {
					c.Close()
				}
			})
		}
	}
	running.Wait()
	w.logf("answers to clients: %d; answers broken off by a backend server: %d", answered.Load(), brokenOff.Load())
	w.logf("lookups that a sound backend server answered and whose connection was closed without an answer: %d", lost.Load())
	return lost.Load() > 3, nil // rule LOST: more than three times
}
