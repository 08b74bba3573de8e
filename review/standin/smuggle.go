package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/laburnumcleat/laburnumcleat/pkg/routing"
	"github.com/laburnumcleat/laburnumcleat/platform/wire"
)

const (
	captures     = 6
	captureParts = 256 // records of a capture
)

// smuggle: backend servers answer long requests before these are in, keep the connection and read on at once. The bodies are captures of
// HTTP traffic, which clients send record by record.
func smuggle(dir string, trouble bool, record *os.File) (bool, error) {
	var mu sync.Mutex
	sent, foreign := make(map[string]bool), 0
	handle := func(w *world, a *arrival) bool {
		mu.Lock()
		known := sent[a.id]
		if !known {
			foreign++
		}
		mu.Unlock()
		if !known {
			w.logf("%s runs %s %s with the id %q, which no client sent, for the caller %q", a.backend.id, a.Method, a.URL.Path, a.id, a.Header.Get(wire.Headers.Caller))
		}
		time.Sleep(20 * time.Millisecond)
		if a.Method == http.MethodGet {
			a.answer(http.StatusOK, []byte("record"), signed()...)
			return true
		}
		if !trouble {
			if _, err := io.Copy(io.Discard, a.Body); err != nil {
				return false
			}
			a.answer(http.StatusOK, make([]byte, answerBytes), signed()...)
			return true
		}
		a.answer(http.StatusOK, make([]byte, answerBytes), signed()...)
		n, err := io.Copy(io.Discard, a.Body)
		w.logf("%s has answered %s before it was in, and then read on up to %d bytes: %v", a.backend.id, a.id, n, err)
		return err == nil
	}
	d := document([]routing.Route{
		{Name: "upload", Host: host, PathPrefix: "/upload/", Priority: 1, TargetMS: 4000, TimeoutMS: 5000, MaxAttempts: 2, Destinations: []routing.Destination{{Service: "records", Weight: 1}}},
		{Name: "lookup", Host: host, PathPrefix: "/lookup/", Idempotent: true, Priority: 0, TargetMS: 800, TimeoutMS: 1200, MaxAttempts: 2, Destinations: []routing.Destination{{Service: "records", Weight: 1}}},
	}, "records")
	w, err := newWorld(dir, trouble, record, d, []string{"records", "records", "records"}, handle)
	if err != nil {
		return false, err
	}
	defer w.close()
	extra := 0
	for i := range captures {
		id := w.newID()
		mu.Lock()
		sent[id] = true
		mu.Unlock()
		extra += w.sendCapture(w.nodes[i%len(w.nodes)], id)
	}
	time.Sleep(500 * time.Millisecond)
	mu.Lock()
	defer mu.Unlock()
	w.logf("requests that backend servers ran and no client sent: %d", foreign)
	w.logf("responses on connections without a request waiting: %d", extra)
	return foreign > 0, nil // rule UNASKED
}

// sendCapture uploads a capture and returns the number of responses beyond the one to the upload.
func (w *world) sendCapture(n *node, id string) (extra int) {
	c, err := dial(n.callers)
	if err != nil {
		w.logf("%s does not accept an upload: %v", n.id, err)
		return 0
	}
	defer c.Close()
	length := captureParts * uploadPart
	w.logf("upload %s of %d bytes is sent to %s", id, length, n.id)
	responses := make(chan int)
	go func() {
		count := 0
		defer func() { responses <- count }()
		for {
			r, body, err := c.response(http.MethodPost, 6*time.Second)
			if err != nil {
				return
			}
			count++
			w.logf("the client of upload %s gets response %d: status %d to id %q, %d bytes", id, count, r.StatusCode, r.Header.Get(wire.Headers.RequestID), len(body))
		}
	}()
	_, err = c.Write(header(http.MethodPost, "/upload/1", id, 5*time.Second, length))
	for i := 0; err == nil && i < captureParts; i++ {
		_, err = c.Write(captureRecord(i))
		time.Sleep(uploadInterval)
	}
	if err != nil {
		w.logf("upload %s cannot be sent on: %v", id, err)
	}
	time.Sleep(500 * time.Millisecond)
	c.Close()
	return max(0, <-responses-1)
}

// captureRecord returns a record of a capture: the header of a request, as it was seen somewhere else.
func captureRecord(i int) []byte {
	text := fmt.Sprintf("GET /lookup/%d HTTP/1.1\r\nHost: %s\r\n%s: captured%08d\r\nCookie: \r\n\r\n", i, host, wire.Headers.RequestID, i)
	fill := bytes.Repeat([]byte("c"), uploadPart-len(text))
	return bytes.Replace([]byte(text), []byte("Cookie: "), append([]byte("Cookie: "), fill...), 1)
}
