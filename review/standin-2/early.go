package main

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/laburnumcleat/laburnumcleat/platform/wire"
)

// Doses of the disruption: garble with how "early" (long requests are rejected or answered before they are in).
const (
	earlyOneIn  = 50                      // x = 0.02 of the answers of an early server
	earlyWindow = 5500 * time.Millisecond // for_s of garble in the site file
	earlyPause  = time.Second             // between two such windows
	earlyRounds = 7
)

const (
	uploadBytes   = 1 << 20                // of a request body; the limit of the configuration is 64 MiB
	uploadFirst   = 600_000                // bytes of it that a server has read when it answers early
	uploadPiece   = 16 << 10               // that a client sends at once
	uploadGap     = 500 * time.Microsecond // between pieces, about 250 Mbit/s
	uploadThink   = 60 * time.Millisecond  // between two requests of a client
	uploadClients = 8
	uploadTimeout = 4 * time.Second
	answerBytes   = 40_000 // of an answer to an upload
	keptClients   = 10     // at each of the nodes that take uploads
	keptTimeout   = 2 * time.Second
	settleWindow  = 3 * time.Second
	restartDelay  = 300 * time.Millisecond
)

// uploadContent returns a body whose bytes tell their position: every eight bytes are their offset.
func uploadContent() []byte {
	body := make([]byte, uploadBytes)
	for i := 0; i < len(body); i += 8 {
		binary.BigEndian.PutUint64(body[i:], uint64(i))
	}
	return body
}

// uploadServer is a backend server that takes long bodies. If it is early, it answers some requests when a part of the body is in, keeps the
// connection and reads the rest.
type uploadServer struct {
	f        *fleet
	id       string
	early    bool
	active   *atomic.Bool // whether the disruption lasts
	content  []byte
	listener net.Listener

	uploads, answeredEarly, whole, cut, wrong, foreign atomic.Int64
}

func (s *uploadServer) serve() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serveConn(conn)
	}
}

func (s *uploadServer) serveConn(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		id := r.Header.Get(wire.Headers.RequestID)
		switch {
		case r.URL.Path == healthPath:
			writeHealth(conn, "200 OK", s.id)
			continue
		case r.Header.Get(wire.Headers.ExpectedInstance) != s.id:
			writeMisdirected(conn, s.id)
			continue
		}
		answer := func() {
			_ = writeAnswer(conn, s.id, id, strings.Repeat("a", answerBytes)) // the next read tells whether the connection is lost
		}
		if r.Method != http.MethodPost {
			answer()
			continue
		}
		number := s.uploads.Add(1)
		at, isEarly := 0, s.early && s.active.Load() && number%earlyOneIn == 0
		if isEarly {
			first := make([]byte, uploadFirst)
			n, err := io.ReadFull(r.Body, first)
			if !s.check(id, 0, first[:n]) || err != nil {
				return
			}
			s.f.printf("server %s: request %s: answered early", s.id, id)
			answer()
			s.answeredEarly.Add(1)
			at = n
		}
		rest, err := io.ReadAll(r.Body)
		if !s.check(id, at, rest) {
			return
		}
		if err != nil || at+len(rest) < len(s.content) {
			s.cut.Add(1)
			s.f.printf("server %s: request %s: body ended after %d bytes: %v", s.id, id, at+len(rest), err)
			return
		}
		s.whole.Add(1)
		if !isEarly {
			answer()
		}
	}
}

// check compares what arrived at a position of the body with what was sent.
func (s *uploadServer) check(id string, at int, got []byte) bool {
	if at+len(got) <= len(s.content) && bytes.Equal(got, s.content[at:at+len(got)]) {
		return true
	}
	i := 0
	for i < len(got) && at+i < len(s.content) && got[i] == s.content[at+i] {
		i++
	}
	s.wrong.Add(1)
	s.f.printf("server %s: request %s: OTHER BYTES from offset %d of the body on: %q", s.id, id, at+i, got[i:min(i+24, len(got))])
	if text := bytes.Index(got[i:], []byte("HTTP/1.1")); text >= 0 {
		s.foreign.Add(1)
		s.f.printf("server %s: request %s: FOREIGN BYTES in the body: %q", s.id, id, got[i+max(0, text-60):min(i+text+200, len(got))])
	}
	return false
}

// earlyLoad is what the clients of a run have seen.
type earlyLoad struct {
	f       *fleet
	content []byte
	servers []*uploadServer
	tracker []*server
	upAt    []atomic.Int64 // by node: start of the process, Unix ns
	ends    []atomic.Int64 // by node: processes that ended by themselves

	mu        sync.Mutex
	lost      map[string]string // requests of kept connections that were closed without an answer: id -> node
	kept      atomic.Int64
	uploaded  atomic.Int64
	uploadsOK atomic.Int64
}

// startEarly starts six nodes: four beside servers that take uploads, half of which answer early at times, and two beside sound servers.
func startEarly(f *fleet) (*earlyLoad, *atomic.Bool, error) {
	l := &earlyLoad{f: f, content: uploadContent(), lost: make(map[string]string), upAt: make([]atomic.Int64, 6), ends: make([]atomic.Int64, 6)}
	active := &atomic.Bool{}
	zones := []string{"seeb", "nizwa", "sohar"}
	for i := range 4 {
		listener, err := net.Listen("tcp", f.nextIP()+":8080")
		if err != nil {
			return nil, nil, err
		}
		s := &uploadServer{f: f, id: fmt.Sprintf("i-records-%d", i+1), early: i < 2, active: active, content: l.content, listener: listener}
		go s.serve()
		l.servers = append(l.servers, s)
		f.addNode(zones[i%3], "records", listener.Addr().String(), nil)
	}
	for i := range 2 {
		s, err := newServer(f, fmt.Sprintf("i-tracker-%d", i+1), 150*time.Millisecond)
		if err != nil {
			return nil, nil, err
		}
		l.tracker = append(l.tracker, s)
		f.addNode(zones[i+1], "tracker", s.address(), nil)
	}
	for i, n := range f.nodes {
		id, slots := "", 9
		if i < 4 {
			id = l.servers[i].id
		} else {
			id, slots = l.tracker[i-4].id, 64
		}
		if err := f.start(n); err != nil {
			return nil, nil, err
		}
		l.upAt[i].Store(time.Now().UnixNano())
		go newBeats(f, n, id, slots).run()
	}
	err := f.store.Publish(document(1,
		route("history", "records", true, 800*time.Millisecond, keptTimeout, 2),
		route("upload", "records", false, 2*time.Second, uploadTimeout, 2),
		route("eta", "tracker", true, 800*time.Millisecond, keptTimeout, 2)))
	if err != nil {
		return nil, nil, err
	}
	err = await(func() bool {
		for _, n := range f.nodes {
			if !n.ready() || get(n, "warm").status != http.StatusOK || send(n, http.MethodGet, "eta", "warm", keptTimeout).status != http.StatusOK {
				return false
			}
		}
		return true
	})
	time.Sleep(settleWindow)
	return l, active, err
}

// run loads the fleet, with the disruption in windows, and starts processes again that end by themselves.
func (l *earlyLoad) run(active *atomic.Bool, trouble bool) {
	stop := make(chan struct{})
	var clients, platform sync.WaitGroup
	for c := range uploadClients {
		clients.Go(func() { l.uploadLoop(c, stop) })
	}
	for i := range 4 {
		for c := range keptClients {
			clients.Go(func() { l.keptLoop(i, c, stop) })
		}
	}
	for i := range l.f.nodes {
		platform.Go(func() { l.keepUp(i, stop) })
	}
	time.Sleep(time.Second)
	for range earlyRounds {
		active.Store(trouble)
		time.Sleep(earlyWindow)
		active.Store(false)
		time.Sleep(earlyPause)
	}
	close(stop)
	clients.Wait()
	platform.Wait()
}

// keepUp starts the process of a node again when it has ended, as the platform does.
func (l *earlyLoad) keepUp(i int, stop chan struct{}) {
	n := l.f.nodes[i]
	for {
		select {
		case <-stop:
			return
		case <-n.process.Done():
		}
		l.ends[i].Add(1)
		l.f.printf("the process of %s ended by itself: %s", n.settings.ID, l.f.lastPanic(n))
		time.Sleep(restartDelay)
		if err := l.f.restart(n); err != nil {
			l.f.printf("%s does not start: %v", n.settings.ID, err)
			return
		}
		l.upAt[i].Store(time.Now().UnixNano())
	}
}

func (l *earlyLoad) uploadLoop(c int, stop chan struct{}) {
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(uploadThink):
		}
		n := l.f.nodes[(c+i)%4]
		id := fmt.Sprintf("upload-%d-%04d", c, i)
		status, err := l.upload(n, id)
		l.uploaded.Add(1)
		if status == http.StatusOK && err == nil {
			l.uploadsOK.Add(1)
		} else {
			l.f.printf("client at %s: request %s: status %d, error %v", n.settings.ID, id, status, err)
		}
	}
}

// upload sends a POST with a long body at the rate of the client's link, and reads the answer meanwhile.
func (l *earlyLoad) upload(n *node, id string) (int, error) {
	conn, err := net.DialTimeout("tcp", n.settings.Listen.Callers, time.Second)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(uploadTimeout))
	fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n", requestHead(http.MethodPost, "upload", id, uploadTimeout), len(l.content))
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		for at := 0; at < len(l.content); at += uploadPiece {
			if _, err := conn.Write(l.content[at:min(at+uploadPiece, len(l.content))]); err != nil {
				return // the answer tells
			}
			time.Sleep(uploadGap)
		}
	}()
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: http.MethodPost})
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, response.Body)
	<-sent
	return response.StatusCode, err
}

// keptLoop sends GETs for the sound servers over a kept connection.
func (l *earlyLoad) keptLoop(i, c int, stop chan struct{}) {
	n := l.f.nodes[i]
	var k *keptConn
	for r := 0; ; r++ {
		select {
		case <-stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
		if k == nil {
			var err error
			if k, err = dialKept(n); err != nil {
				continue
			}
		}
		id := fmt.Sprintf("eta-%d-%02d-%04d", i+1, c, r)
		settled := time.Since(time.Unix(0, l.upAt[i].Load())) > settleWindow
		a := k.get("eta", id, keptTimeout, keptTimeout+time.Second)
		l.kept.Add(1)
		if a.err == nil {
			continue
		}
		l.f.printf("client at %s: request %s on a kept connection: no answer, %v", n.settings.ID, id, a.err)
		if settled {
			l.mu.Lock()
			l.lost[id] = n.settings.ID
			l.mu.Unlock()
		}
		k.conn.Close()
		k = nil
	}
}

// report writes the totals, and returns the number of bodies with other bytes.
func (l *earlyLoad) report() (wrong int64) {
	lost := 0
	for _, s := range l.tracker {
		for _, e := range s.executions() {
			if at, ok := l.lost[e.id]; ok {
				lost++
				l.f.printf("request %s was run by %s (sound), and %s closed its connection without an answer", e.id, s.id, at)
				delete(l.lost, e.id)
			}
		}
	}
	early, whole, cut, foreign := int64(0), int64(0), int64(0), int64(0)
	for _, s := range l.servers {
		early, whole, cut = early+s.answeredEarly.Load(), whole+s.whole.Load(), cut+s.cut.Load()
		wrong, foreign = wrong+s.wrong.Load(), foreign+s.foreign.Load()
	}
	for i, n := range l.f.nodes {
		l.f.printf("%s: %d processes ended by themselves", n.settings.ID, l.ends[i].Load())
	}
	l.f.printf("uploads: %d sent, %d answered with success; at the servers: %d answered early, %d bodies whole, %d cut off, %d with other bytes, of these %d with bytes of another connection",
		l.uploaded.Load(), l.uploadsOK.Load(), early, whole, cut, wrong, foreign)
	l.f.printf("kept connections: %d requests, %d lost though a sound server had them", l.kept.Load(), lost)
	return wrong
}

// earlyBytes checks UNASKED: other bytes where the rest of a body is due.
func earlyBytes(f *fleet, trouble bool) (bool, error) {
	l, active, err := startEarly(f)
	if err != nil {
		return false, err
	}
	l.run(active, trouble)
	return l.report() == 0, nil
}
