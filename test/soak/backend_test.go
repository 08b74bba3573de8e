package soak

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/laburnumcleat/laburnumcleat/pkg/announce"
	"github.com/laburnumcleat/laburnumcleat/platform/standin"
	"github.com/laburnumcleat/laburnumcleat/platform/wire"
)

// misbehaviour is a fault that a backend server shows in some of its responses.
type misbehaviour string

const (
	correct                  misbehaviour = ""
	truncatesResponse        misbehaviour = "cut"     // closes the connection within the response
	truncatesUnsizedResponse misbehaviour = "unsized" // resets the connection within a response without Content-Length
	sendsExtraResponse       misbehaviour = "extra"   // sends a second response, for another request id
	resetsConnection         misbehaviour = "reset"   // resets the connection instead of responding
	neverResponds            misbehaviour = "silent"  // keeps the connection open without responding
	respondsSlowly           misbehaviour = "slow"
	respondsWith500          misbehaviour = "fails"
	omitsSignature           misbehaviour = "unsigned" // sends a success without a signature
	sendsGarbage             misbehaviour = "noise"    // sends bytes that are not HTTP
	sendsEndlessHeader       misbehaviour = "endless-header"
	sendsEndlessBody         misbehaviour = "endless-body"   // without Content-Length
	sendsEndlessChunks       misbehaviour = "endless-chunks" // of one byte each
)

const (
	slots                   = 6
	queueLimit              = 4 // of the backend server
	heartbeatInterval       = 500 * time.Millisecond
	heartbeatTimeout        = time.Second
	addressReuseDelay       = 2 * time.Second // before an address is given to another service
	slowFactor              = 10
	maxResponseBytes        = 20_000
	minWork                 = 4 * time.Millisecond
	workSpread              = 12 * time.Millisecond
	misbehaviourProbability = 0.7 // share of the responses
	endlessBlockBytes       = 32 << 10
	extraResponseLinger     = 200 * time.Millisecond // time for which the connection stays open after an extra response
)

// backend is the backend server of a node. Each start creates a new instance.
type backend struct {
	checker *checker
	node    *node
	address string
	starts  atomic.Int64
	fault   atomic.Value // misbehaviour
	version atomic.Value // string; of the instances that are started

	executed atomic.Int64 // requests

	mu       sync.Mutex // held while an instance starts or stops
	instance *instance
}

// instance is one incarnation of a backend server.
type instance struct {
	backend        *backend
	id             string
	service        string
	version        string
	startedAt      time.Time
	server         *http.Server
	stopHeartbeats context.CancelFunc
	slots          chan struct{}
	load           atomic.Int64 // requests running and queued
	sequence       atomic.Int64
	draining       atomic.Bool
	limit          atomic.Int64 // requests a second that it names in its responses; 0: none
	leaving        atomic.Bool  // it says in its responses that it is leaving
	drainEnd       atomic.Int64 // Unix ns; end of the drain time; 0: departure not acknowledged
	executedAt     atomic.Int64 // Unix ns; start of the latest execution of a request
}

func newBackend(c *checker, n *node, address string) *backend {
	b := &backend{checker: c, node: n, address: address}
	b.misbehave(correct)
	b.version.Store("v1")
	return b
}

// start starts an instance of a service unless one is running. Connections of the previous instance may still use the address.
func (b *backend) start(service string) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.instance != nil {
		return nil
	}
	listener, err := net.Listen("tcp", b.address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	i := &instance{
		backend: b, id: fmt.Sprintf("i-%s-%d", b.node.id, b.starts.Add(1)), service: service, version: b.version.Load().(string), startedAt: time.Now(),
		slots: make(chan struct{}, slots), stopHeartbeats: cancel,
	}
	i.server = &http.Server{Handler: i, ReadHeaderTimeout: 10 * time.Second}
	b.instance = i
	b.node.setService(service)
	go i.server.Serve(listener)
	go i.sendHeartbeats(ctx)
	return nil
}

// unusedSince returns the ID of the running instance if it has executed no request since a time, otherwise "".
func (b *backend) unusedSince(since time.Time) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.instance == nil || b.instance.executedAt.Load() >= since.UnixNano() {
		return ""
	}
	return b.instance.id
}

// load returns the number of requests that the running instance serves or queues.
func (b *backend) load() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.instance == nil {
		return 0
	}
	return b.instance.load.Load()
}

// crash stops the instance immediately.
func (b *backend) crash() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.instance != nil {
		b.instance.stopHeartbeats()
		b.instance.server.Close()
		b.instance = nil
	}
}

// retire performs a planned stop as the platform's backend servers do it: drain, leave, stop.
func (b *backend) retire() {
	b.mu.Lock()
	defer b.mu.Unlock()
	i := b.instance
	if i == nil {
		return
	}
	i.draining.Store(true)
	acknowledged := false
	for range 6 {
		if acknowledged = i.sendHeartbeat(context.Background()) == nil; acknowledged {
			i.drainEnd.Store(time.Now().Add(drainBound).UnixNano())
			break
		}
		time.Sleep(heartbeatInterval)
	}
	if acknowledged {
		time.Sleep(drainBound + heartbeatInterval)
	}
	ctx, cancel := context.WithTimeout(context.Background(), heartbeatTimeout)
	defer cancel()
	// The instance stops even if its departure is not acknowledged.
	_ = standin.Leave(ctx, b.node.settings.Listen.Announcements, i.id)
	i.stopHeartbeats()
	i.server.Close()
	b.instance = nil
}

// misbehave sets the misbehaviour of the backend server.
func (b *backend) misbehave(m misbehaviour) { b.fault.Store(m) }

// sendHeartbeats announces the instance periodically, except while it drains.
func (i *instance) sendHeartbeats(ctx context.Context) {
	for ctx.Err() == nil {
		if !i.draining.Load() {
			// The node may be down; the next heartbeat carries the same data.
			_ = i.sendHeartbeat(ctx)
		}
		select {
		case <-ctx.Done():
		case <-time.After(heartbeatInterval):
		}
	}
}

func (i *instance) sendHeartbeat(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	return standin.Announce(ctx, i.backend.node.settings.Listen.Announcements, announce.Announcement{
		ID: i.id, Service: i.service, Version: i.version, Address: i.backend.address, Slots: slots, Draining: i.draining.Load(),
		Sequence: i.sequence.Add(1), StartTimeMS: i.startedAt.UnixMilli(),
	})
}

func signatureOf(instance, id string) string { return instance + "." + id }

// responseBody returns the body of the response of an instance to a request. Its length depends on the request id.
func responseBody(instance, id string) string {
	text := signatureOf(instance, id) + " "
	size := 0
	for _, c := range id {
		size = (size*31 + int(c)) % maxResponseBytes
	}
	return strings.Repeat(text, size/len(text)+1)
}

// healthPath is the path of the liveness check.
const healthPath = "/health"

// serveHealth reports whether the instance accepts requests. The checker does not count health checks.
func (i *instance) serveHealth(w http.ResponseWriter) {
	w.Header().Set(wire.Headers.Instance, i.id)
	i.setIntake(w.Header())
	if i.draining.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// ServeHTTP executes a request or refuses it.
func (i *instance) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet && r.RequestURI == healthPath && r.Header.Get(wire.Headers.RequestID) == "" {
		i.serveHealth(w)
		return
	}
	v := &arrival{
		id: r.Header.Get(wire.Headers.RequestID), path: r.RequestURI, caller: r.Header.Get(wire.Headers.Caller),
		key: r.Header.Get(wire.Headers.Key), team: r.Header.Get(wire.Headers.Team), deadline: -1, instance: i.id, service: i.service, node: i.backend.node,
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the connection ended within the request
	}
	v.body = string(body)
	if ms, err := strconv.ParseInt(r.Header.Get(wire.Headers.DeadlineMS), 10, 64); err == nil {
		v.deadline = time.Duration(ms) * time.Millisecond
	}
	if ns := i.drainEnd.Load(); ns != 0 {
		v.drainEnd = time.Unix(0, ns)
	}
	w.Header().Set(wire.Headers.RequestID, v.id)
	w.Header().Set(wire.Headers.Instance, i.id)
	i.setIntake(w.Header())
	if expected := r.Header.Get(wire.Headers.ExpectedInstance); expected != "" && expected != i.id {
		i.refuse(w, v, http.StatusMisdirectedRequest)
		return
	}
	load := i.load.Add(1)
	defer i.load.Add(-1)
	w.Header().Set(wire.LoadHeader, fmt.Sprintf("%d,%d,%d", min(load, slots), max(0, load-slots), slots))
	if load > slots+queueLimit {
		i.refuse(w, v, http.StatusServiceUnavailable)
		return
	}
	select {
	case i.slots <- struct{}{}:
		defer func() { <-i.slots }()
	case <-r.Context().Done():
		return
	case <-time.After(v.deadline):
		i.refuse(w, v, http.StatusServiceUnavailable)
		return
	}
	i.run(w, r, v)
}

func (i *instance) refuse(w http.ResponseWriter, v *arrival, status int) {
	v.refused = true
	i.backend.checker.recordArrival(v)
	w.Header().Set(wire.Headers.NotExecuted, "1")
	w.WriteHeader(status)
}

func (i *instance) run(w http.ResponseWriter, r *http.Request, v *arrival) {
	i.executedAt.Store(time.Now().UnixNano())
	i.backend.executed.Add(1)
	fault := i.backend.fault.Load().(misbehaviour)
	if fault != respondsSlowly && rand.Float64() >= misbehaviourProbability {
		fault = correct
	}
	status := http.StatusOK
	if fault == respondsWith500 {
		status = http.StatusInternalServerError
	}
	v.status = status
	if i.backend.checker.recordArrival(v) == nil {
		return
	}
	if strings.HasPrefix(v.path, deadlyPrefix) {
		i.backend.crashByRequest(i)
		return
	}
	work := minWork + rand.N(workSpread)
	if strings.HasPrefix(v.path, slowPath) {
		work = slowRouteWork
	}
	if fault == respondsSlowly {
		work *= slowFactor
	}
	select {
	case <-time.After(work):
	case <-r.Context().Done():
		return
	}
	w.Header().Set(wire.Headers.Signature, signatureOf(i.id, v.id))
	body := responseBody(i.id, v.id)
	switch fault {
	case omitsSignature:
		w.Header().Del(wire.Headers.Signature)
	case truncatesResponse, truncatesUnsizedResponse, sendsExtraResponse, resetsConnection, sendsGarbage, sendsEndlessHeader, sendsEndlessBody, sendsEndlessChunks:
		if err := writeFaultyResponse(w, fault, v.id, body); err != nil && !errors.Is(err, net.ErrClosed) {
			panic(http.ErrAbortHandler)
		}
		return
	case neverResponds:
		<-r.Context().Done()
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	// A write error means that the node closed the connection.
	_, _ = io.WriteString(w, body)
}

// writeFaultyResponse hijacks the connection, writes a faulty response and closes the connection.
func writeFaultyResponse(w http.ResponseWriter, fault misbehaviour, id, body string) error {
	head := "HTTP/1.1 200 OK\r\n"
	for name, values := range w.Header() {
		head += name + ": " + values[0] + "\r\n"
	}
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return err
	}
	defer conn.Close()
	response := head + "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
	switch fault {
	case truncatesResponse:
		return send(buffered, response[:len(response)-len(body)/2])
	case truncatesUnsizedResponse:
		err := send(buffered, head+"Connection: close\r\n\r\n"+body[:len(body)/2])
		return errors.Join(err, setResetOnClose(conn))
	case sendsExtraResponse:
		extra := strings.ReplaceAll(response, id, "other-"+id[min(6, len(id)):])
		err := send(buffered, response+extra)
		time.Sleep(extraResponseLinger)
		return err
	case sendsGarbage:
		return send(buffered, "\x00\x01 not a response \r\n\r\n")
	case sendsEndlessHeader:
		return sendEndlessly(buffered, head+"X-Noise: ", "x")
	case sendsEndlessBody:
		return sendEndlessly(buffered, head+"\r\n", "x")
	case sendsEndlessChunks:
		return sendEndlessly(buffered, head+"Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n")
	}
	return setResetOnClose(conn)
}

// sendEndlessly sends a prefix and then the same text again and again until the node closes the connection.
func sendEndlessly(w *bufio.ReadWriter, prefix, repeated string) error {
	block := strings.Repeat(repeated, endlessBlockBytes/len(repeated))
	for err := send(w, prefix); ; err = send(w, block) {
		if err != nil {
			return net.ErrClosed
		}
	}
}

func send(w *bufio.ReadWriter, text string) error {
	if _, err := w.WriteString(text); err != nil {
		return err
	}
	return w.Flush()
}

// setResetOnClose makes Close reset the connection.
func setResetOnClose(conn net.Conn) error {
	if tcp, ok := conn.(*net.TCPConn); ok {
		return tcp.SetLinger(0)
	}
	return nil
}
