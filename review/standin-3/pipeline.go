package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/laburnumcleat/laburnumcleat/pkg/routing"
)

const (
	pipelineHost    = "lepu2.example"
	pipelineClients = 48
	pipelineTime    = 8 * time.Second
	killAfter       = 4 * time.Second
	exportBytes     = 90_000 // an average download
	exportLinkMbps  = 12
	lostAllowed     = 3
)

// playCutPipeline lets clients ask for a download and, behind it on the same connection, for something short of another service. The trouble: the
// processes beside the backends of the downloads are killed at once.
func playCutPipeline(w *world, trouble bool) (bool, error) {
	entry := w.addNode("tracker", "seeb")
	w.addNode("tracker", "nizwa")
	var exports []*node
	for _, zone := range []string{"seeb", "seeb", "nizwa", "nizwa", "sohar", "sohar"} {
		n := w.addNode("records", zone)
		n.bytes, n.linkMbps = exportBytes, exportLinkMbps
		exports = append(exports, n)
	}
	for _, zone := range []string{"seeb", "nizwa", "sohar"} {
		w.addNode("dispatch", zone).work = 200 * time.Millisecond
	}
	document := &routing.Document{
		Version: 7, Limits: routing.Limits{HeaderBytes: 16384, BodyBytes: 1 << 20, HeaderTimeoutMS: 3000, IdleTimeoutMS: 15000},
		Services: []routing.Service{{Name: "tracker", HealthPath: healthPath}, {Name: "records", HealthPath: healthPath}, {Name: "dispatch", HealthPath: healthPath}},
		Routes: []routing.Route{
			{Name: "export", Host: pipelineHost, PathPrefix: "/export/", Idempotent: true, Priority: 1, TargetMS: 2000, TimeoutMS: 3000, MaxAttempts: 2, Destinations: []routing.Destination{{Service: "records", Weight: 1}}},
			{Name: "verify", Host: pipelineHost, PathPrefix: "/verify/", Idempotent: true, Priority: 1, TargetMS: 2000, TimeoutMS: 3000, MaxAttempts: 2, Destinations: []routing.Destination{{Service: "dispatch", Weight: 1}}},
		},
	}
	if err := w.startAll(document); err != nil {
		return false, err
	}
	begun := time.Now()
	var mu sync.Mutex
	unanswered := make(map[string]error) // short requests behind a download, by id
	var clients sync.WaitGroup
	for c := range pipelineClients {
		clients.Go(func() {
			for round := 0; time.Since(begun) < pipelineTime; {
				w.pipelineClient(entry, c, &round, begun, func(id string, err error) {
					mu.Lock()
					defer mu.Unlock()
					unanswered[id] = err
				})
			}
		})
	}
	if trouble {
		time.Sleep(killAfter)
		for _, n := range exports {
			w.note("trouble: the process %s is killed", n.id)
			_ = n.sidecar.Process.Kill() // an error means that it has ended
		}
	}
	clients.Wait()
	time.Sleep(time.Second)
	runs := w.runs()
	lost := 0
	for id, err := range unanswered {
		if len(runs[id]) > 0 {
			lost++
			w.note("LOST: %s was passed on to %s, and %s closed its kept connection without an answer: %v", id, runs[id][0].Backend, entry.id, err)
		}
	}
	w.note("%d requests were lost; %d are allowed", lost, lostAllowed)
	return lost > lostAllowed, nil
}

// pipelineClient uses one connection until it is closed or the time is over.
func (w *world) pipelineClient(n *node, client int, round *int, begun time.Time, lose func(id string, err error)) {
	conn, err := net.DialTimeout("tcp", n.address(portCallers), time.Second)
	if err != nil {
		time.Sleep(100 * time.Millisecond)
		return
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for first := true; time.Since(begun) < pipelineTime; first = false {
		*round++
		export, verify := fmt.Sprintf("e%03x%04x%08x", client, *round, 1), fmt.Sprintf("f%03x%04x%08x", client, *round, 2)
		text := encodeRequest(http.MethodGet, pipelineHost, fmt.Sprintf("/verify/%d", *round), verify, "", 3*time.Second)
		if !first {
			text = encodeRequest(http.MethodGet, pipelineHost, fmt.Sprintf("/export/%d", *round), export, "", 3*time.Second) + text
		}
		_ = conn.SetDeadline(time.Now().Add(4 * time.Second)) // fails only on a closed connection
		if _, err := io.WriteString(conn, text); err != nil {
			return // it crossed the close
		}
		if !first {
			a, err := readAnswer(reader, http.MethodGet)
			a.err = err
			w.note("client %d: %s download -> %v", client, export, a)
			if err != nil {
				lose(verify, err)
				return
			}
		}
		a, err := readAnswer(reader, http.MethodGet)
		a.err = err
		w.note("client %d: %s short -> %v", client, verify, a)
		if err != nil {
			lose(verify, err)
			return
		}
	}
}
