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

// misbehaviour is what a backend server does wrong with a part of its answers.
type misbehaviour string

const (
	behaves     misbehaviour = ""
	cutsAnswers misbehaviour = "cut"     // the connection ends within the answer
	cutsUnsized misbehaviour = "unsized" // the same for an answer without a length, by a reset
	addsAnswers misbehaviour = "extra"   // a second answer, of another request, follows
	resets      misbehaviour = "reset"   // no answer
	silent      misbehaviour = "silent"  // no answer, and the connection stays open
	isSlow      misbehaviour = "slow"
	fails       misbehaviour = "fails"    // 500
	unsigned    misbehaviour = "unsigned" // a success that is not its own
	noise       misbehaviour = "noise"    // bytes that are no answer
)

const (
	slots             = 6
	waiting           = 4 // requests that wait in the backend server
	beatInterval      = 500 * time.Millisecond
	beatTimeout       = time.Second
	addressReuse      = 2 * time.Second // until an address is given to another service
	slowFactor        = 10
	longestAnswer     = 20_000 // bytes
	workMinimum       = 4 * time.Millisecond
	workSpread        = 12 * time.Millisecond
	misbehavingAnswer = 0.7                    // part of the answers
	extraOpen         = 200 * time.Millisecond // for which a connection with an answer too many stays open
)

// backend is the backend server beside a node. Each start is a new instance.
type backend struct {
	judge   *judge
	node    *node
	address string
	starts  atomic.Int64
	fault   atomic.Value // misbehaviour

	mu       sync.Mutex // held while an instance starts or ends
	instance *instance
}

// instance is one start of a backend server.
type instance struct {
	backend  *backend
	id       string
	service  string
	born     time.Time
	server   *http.Server
	stop     context.CancelFunc
	slots    chan struct{}
	load     atomic.Int64 // running and waiting
	sequence atomic.Int64
	draining atomic.Bool
	drained  atomic.Int64 // Unix ns at which the drain time is over; 0: not acknowledged
}

func newBackend(j *judge, n *node, address string) *backend {
	b := &backend{judge: j, node: n, address: address}
	b.misbehave(behaves)
	return b
}

// start starts an instance of a service. The listening address may still be in use by connections of the former one.
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
		backend: b, id: fmt.Sprintf("i-%s-%d", b.node.id, b.starts.Add(1)), service: service, born: time.Now(),
		slots: make(chan struct{}, slots), stop: cancel,
	}
	i.server = &http.Server{Handler: i, ReadHeaderTimeout: 10 * time.Second}
	b.instance = i
	b.node.serving(service)
	go i.server.Serve(listener)
	go i.announce(ctx)
	return nil
}

// crash ends the instance at once.
func (b *backend) crash() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.instance != nil {
		b.instance.stop()
		b.instance.server.Close()
		b.instance = nil
	}
}

// retire performs a planned stop as the platform's backend servers do it.
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
		if acknowledged = i.beat(context.Background()) == nil; acknowledged {
			i.drained.Store(time.Now().Add(drainBound).UnixNano())
			break
		}
		time.Sleep(beatInterval)
	}
	if acknowledged {
		time.Sleep(drainBound + beatInterval)
	}
	ctx, cancel := context.WithTimeout(context.Background(), beatTimeout)
	defer cancel()
	// It ends without an acknowledgement, too.
	_ = standin.Leave(ctx, b.node.settings.Listen.Announcements, i.id)
	i.stop()
	i.server.Close()
	b.instance = nil
}

// misbehave changes what the backend server does wrong.
func (b *backend) misbehave(m misbehaviour) { b.fault.Store(m) }

// announce says every now and then that the instance is there.
func (i *instance) announce(ctx context.Context) {
	for ctx.Err() == nil {
		if !i.draining.Load() {
			// The node may be down; the next one tells it the same.
			_ = i.beat(ctx)
		}
		select {
		case <-ctx.Done():
		case <-time.After(beatInterval):
		}
	}
}

func (i *instance) beat(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, beatTimeout)
	defer cancel()
	return standin.Announce(ctx, i.backend.node.settings.Listen.Announcements, announce.Announcement{
		ID: i.id, Service: i.service, Address: i.backend.address, Slots: slots, Draining: i.draining.Load(),
		Sequence: i.sequence.Add(1), StartTimeMS: i.born.UnixMilli(),
	})
}

func signatureOf(instance, id string) string { return instance + "." + id }

// answerBody is the body with which an instance answers a request.
func answerBody(instance, id string) string {
	text := signatureOf(instance, id) + " "
	size := 0
	for _, c := range id {
		size = (size*31 + int(c)) % longestAnswer
	}
	return strings.Repeat(text, size/len(text)+1)
}

// healthPath is the path of the liveness check.
const healthPath = "/health"

// serveHealth says whether the instance takes requests. It is no request of a caller and runs nothing.
func (i *instance) serveHealth(w http.ResponseWriter) {
	w.Header().Set(wire.Headers.Instance, i.id)
	if i.draining.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// ServeHTTP runs a request, or refuses it.
func (i *instance) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet && r.RequestURI == healthPath && r.Header.Get(wire.Headers.RequestID) == "" {
		i.serveHealth(w)
		return
	}
	v := &arrival{
		id: r.Header.Get(wire.Headers.RequestID), path: r.RequestURI, caller: r.Header.Get(wire.Headers.Caller),
		deadline: -1, instance: i.id, service: i.service, node: i.backend.node,
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the connection broke off within the request
	}
	v.body = string(body)
	if ms, err := strconv.ParseInt(r.Header.Get(wire.Headers.DeadlineMS), 10, 64); err == nil {
		v.deadline = time.Duration(ms) * time.Millisecond
	}
	if ns := i.drained.Load(); ns != 0 {
		v.drained = time.Unix(0, ns)
	}
	w.Header().Set(wire.Headers.RequestID, v.id)
	w.Header().Set(wire.Headers.Instance, i.id)
	if expected := r.Header.Get(wire.Headers.ExpectedInstance); expected != "" && expected != i.id {
		i.refuse(w, v, http.StatusMisdirectedRequest)
		return
	}
	load := i.load.Add(1)
	defer i.load.Add(-1)
	w.Header().Set(wire.LoadHeader, fmt.Sprintf("%d,%d,%d", min(load, slots), max(0, load-slots), slots))
	if load > slots+waiting {
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
	v.refusing = true
	i.backend.judge.arrived(v)
	w.Header().Set(wire.Headers.NotExecuted, "1")
	w.WriteHeader(status)
}

func (i *instance) run(w http.ResponseWriter, r *http.Request, v *arrival) {
	fault := i.backend.fault.Load().(misbehaviour)
	if fault != isSlow && rand.Float64() >= misbehavingAnswer {
		fault = behaves
	}
	status := http.StatusOK
	if fault == fails {
		status = http.StatusInternalServerError
	}
	v.status = status
	if i.backend.judge.arrived(v) == nil {
		return
	}
	work := workMinimum + rand.N(workSpread)
	if strings.HasPrefix(v.path, slowPath) {
		work = slowWork
	}
	if fault == isSlow {
		work *= slowFactor
	}
	select {
	case <-time.After(work):
	case <-r.Context().Done():
		return
	}
	w.Header().Set(wire.Headers.Signature, signatureOf(i.id, v.id))
	body := answerBody(i.id, v.id)
	switch fault {
	case unsigned:
		w.Header().Del(wire.Headers.Signature)
	case cutsAnswers, cutsUnsized, addsAnswers, resets, noise:
		if err := misanswer(w, fault, v.id, body); err != nil && !errors.Is(err, net.ErrClosed) {
			panic(http.ErrAbortHandler)
		}
		return
	case silent:
		<-r.Context().Done()
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	// A node that has gone does not need the answer.
	_, _ = io.WriteString(w, body)
}

// misanswer writes an answer that is wrong on the connection itself, and closes it.
func misanswer(w http.ResponseWriter, fault misbehaviour, id, body string) error {
	head := "HTTP/1.1 200 OK\r\n"
	for name, values := range w.Header() {
		head += name + ": " + values[0] + "\r\n"
	}
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return err
	}
	defer conn.Close()
	whole := head + "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
	switch fault {
	case cutsAnswers:
		return send(buffered, whole[:len(whole)-len(body)/2])
	case cutsUnsized:
		err := send(buffered, head+"Connection: close\r\n\r\n"+body[:len(body)/2])
		return errors.Join(err, reset(conn))
	case addsAnswers:
		other := strings.ReplaceAll(whole, id, "other-"+id[min(6, len(id)):])
		err := send(buffered, whole+other)
		time.Sleep(extraOpen)
		return err
	case noise:
		return send(buffered, "\x00\x01 not an answer \r\n\r\n")
	}
	return reset(conn)
}

func send(w *bufio.ReadWriter, text string) error {
	if _, err := w.WriteString(text); err != nil {
		return err
	}
	return w.Flush()
}

// reset makes the next close of the connection a reset.
func reset(conn net.Conn) error {
	if tcp, ok := conn.(*net.TCPConn); ok {
		return tcp.SetLinger(0)
	}
	return nil
}
