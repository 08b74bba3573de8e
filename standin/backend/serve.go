package backend

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/laburnumcleat/laburnumcleat/pkg/callctx"
	"github.com/laburnumcleat/laburnumcleat/pkg/clock"
)

// Reply is the JSON body of a served request.
type Reply struct {
	RequestID  string `json:"request_id"`
	BodySHA256 string `json:"body_sha256"` // of the request body, hexadecimal
	Service    string `json:"service"`
	Address    string `json:"address"`          // of this backend server
	Execution  int    `json:"execution"`        // how often this id has run here, 1 for the first time
	Nested     int    `json:"nested,omitempty"` // status of the nested call
	Padding    string `json:"padding,omitempty"`
}

// Stats are counts of a server.
type Stats struct {
	Busy int `json:"busy"` // requests being served
	Peak int `json:"peak"` // most requests served at the same time
	Shed int `json:"shed"`
	Runs int `json:"runs"` // executions of all ids

	Cancelled int `json:"cancelled"` // requests whose caller was gone before the service time was over
}

const (
	// DigestHeader carries Reply.BodySHA256, so that a client can check a response without a JSON body.
	DigestHeader = "Standin-Body-Sha256"
	// SizeHeader on a request asks for a response body of at least that many bytes.
	SizeHeader = "Standin-Response-Bytes"
	// maxPadding limits what SizeHeader can ask for.
	maxPadding = 64 << 20
)

func (s *Server) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", s.health)
	mux.HandleFunc("GET /executions", s.listExecutions)
	mux.HandleFunc("GET /stats", s.stats)
	mux.HandleFunc("PUT /faults", s.putFaults)
	mux.HandleFunc("/", s.work)
	return mux
}

func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	stats := s.Stats()
	if s.options.MisleadingHealth {
		stats = Stats{}
	} else if s.state() != "ready" {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	writeJSON(w, stats)
}

func (s *Server) listExecutions(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, s.Executions())
}

func (s *Server) stats(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, s.Stats())
}

func (s *Server) putFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<16)).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(faults)
	w.WriteHeader(http.StatusNoContent)
}

// Executions returns how often each request id has run here.
func (s *Server) Executions() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := make(map[string]int, len(s.executions))
	for id, count := range s.executions {
		counts[id] = count
	}
	return counts
}

// Stats returns the current counts.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	stats := Stats{Busy: s.busy, Peak: s.peak, Shed: s.shed, Cancelled: s.cancelled}
	for _, count := range s.executions {
		stats.Runs += count
	}
	return stats
}

// work serves one request. It counts as an execution once it has a slot and its body is complete, even if the client
// disconnects later.
func (s *Server) work(w http.ResponseWriter, r *http.Request) {
	select {
	case s.slots <- struct{}{}:
	default:
		s.countShed()
		w.Header().Set("Retry-After", "1")
		http.Error(w, "all slots are busy", http.StatusServiceUnavailable)
		return
	}
	s.enter()
	defer s.leave()
	digest := sha256.New()
	if _, err := io.Copy(digest, http.MaxBytesReader(w, r.Body, maxBodyBytes)); err != nil {
		http.Error(w, "request body: "+err.Error(), http.StatusBadRequest)
		return
	}
	id := r.Header.Get(callctx.HeaderRequestID)
	reply := &Reply{
		RequestID:  id,
		BodySHA256: hex.EncodeToString(digest.Sum(nil)),
		Service:    s.options.Service,
		Address:    s.Address(),
		Execution:  s.record(id),
	}
	fault := s.pickFault()
	if clock.Sleep(r.Context(), s.serviceTime()+fault.delay) != nil {
		s.countCancelled()
		return
	}
	if s.options.Nested != "" {
		reply.Nested = s.callNested(r, w.Header())
	}
	s.respond(w, r, reply, fault)
}

func (s *Server) respond(w http.ResponseWriter, r *http.Request, reply *Reply, fault fault) {
	if size, err := strconv.Atoi(r.Header.Get(SizeHeader)); err == nil && size > 0 && size <= maxPadding {
		reply.Padding = padding(size)
	}
	body, err := json.Marshal(reply)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(callctx.HeaderRequestID, reply.RequestID)
	w.Header().Set(DigestHeader, reply.BodySHA256)
	fault.write(w, body)
}

func (s *Server) record(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.options.ExecutionLog != nil {
		fmt.Fprintln(s.options.ExecutionLog, id, time.Now().UnixMicro())
	}
	s.executions[id]++
	return s.executions[id]
}

func (s *Server) enter() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy++
	s.peak = max(s.peak, s.busy)
}

func (s *Server) leave() {
	s.mu.Lock()
	s.busy--
	s.mu.Unlock()
	<-s.slots
}

func (s *Server) countShed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shed++
}

func (s *Server) countCancelled() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cancelled++
}

func (s *Server) serviceTime() time.Duration {
	base := float64(s.options.ServiceTime)
	if s.cold() {
		base *= s.options.ColdFactor
	}
	return time.Duration(base * (1 + s.options.Jitter*(2*s.random.Float64()-1)))
}

func padding(size int) string {
	text := make([]byte, size)
	for i := range text {
		text[i] = 'a' + byte(i%26)
	}
	return string(text)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// A failed write means that the client is gone.
	_ = json.NewEncoder(w).Encode(v)
}
