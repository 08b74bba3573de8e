package logservice

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/laburnumcleat/laburnumcleat/pkg/apierror"
)

const (
	maxWait           = time.Minute
	readHeaderTimeout = 5 * time.Second
	stopTimeout       = time.Second
	defaultReadLimit  = 100

	// PeerHeader identifies the peer in the counters. Without it the peer is identified by its IP address.
	PeerHeader = "Laburnum-Peer"
)

// Server serves a Log over HTTP, with the protocol of logstore.HTTPLog. POST /control accepts a Control, and GET
// /control/stats returns a map from peer names to PeerStats.
type Server struct {
	log   *Log
	stats *stats
	mux   *http.ServeMux
}

// NewServer returns a server for log.
func NewServer(log *Log) *Server {
	s := &Server{log: log, stats: newStats(), mux: http.NewServeMux()}
	s.mux.HandleFunc("POST /streams/{stream}/records", s.handleAppend)
	s.mux.HandleFunc("GET /streams/{stream}/records", s.handleRead)
	s.mux.HandleFunc("POST /control", s.handleControl)
	s.mux.HandleFunc("GET /control/stats", s.handleStats)
	return s
}

// Stats returns the counters of each peer.
func (s *Server) Stats() map[string]PeerStats {
	return s.stats.snapshot()
}

// Serve serves requests until ctx ends, then shuts down within stopTimeout and closes the listener.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	server := &http.Server{
		Handler:           s.mux,
		ReadHeaderTimeout: readHeaderTimeout,
		ConnContext:       withCountedConn,
		BaseContext:       func(net.Listener) context.Context { return ctx },
	}
	done := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(done)
		stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
		defer cancel()
		if server.Shutdown(stopCtx) != nil {
			server.Close()
		}
	})
	err := server.Serve(&countedListener{Listener: listener, stats: s.stats})
	if !stop() {
		<-done
	}
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

func (s *Server) handleAppend(w http.ResponseWriter, r *http.Request) {
	s.stats.countRequest(r, func(p *PeerStats) { p.Appends++ })
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRecordBytes))
	if err != nil {
		writeError(w, apierror.New(apierror.TooLarge, "reading the record: "+err.Error(), "keep records below 32 MiB"))
		return
	}
	entry, err := s.log.Append(r.Context(), r.PathValue("stream"), data)
	if err != nil {
		s.writeFailure(w, err)
		return
	}
	entry.Data = nil
	writeJSON(w, http.StatusOK, struct {
		Offset int64 `json:"offset"`
		TimeMS int64 `json:"time_ms"`
	}{entry.Offset, entry.TimeMS})
}

func (s *Server) handleRead(w http.ResponseWriter, r *http.Request) {
	s.stats.countRequest(r, func(p *PeerStats) { p.Reads++ })
	from, limit, wait, err := readParameters(r)
	if err != nil {
		writeError(w, err)
		return
	}
	batch, err := s.log.Read(r.Context(), r.PathValue("stream"), from, limit, wait)
	if err != nil {
		s.writeFailure(w, err)
		return
	}
	writeJSON(w, http.StatusOK, batch)
}

func readParameters(r *http.Request) (from int64, limit int, wait time.Duration, err error) {
	query := r.URL.Query()
	from, limit = 1, defaultReadLimit
	waitMS := 0
	if text := query.Get("from"); text != "" {
		if from, err = strconv.ParseInt(text, 10, 64); err != nil {
			return 0, 0, 0, apierror.InvalidField("from", "not a number", "use an offset")
		}
	}
	if text := query.Get("limit"); text != "" {
		if limit, err = strconv.Atoi(text); err != nil || limit < 1 {
			return 0, 0, 0, apierror.InvalidField("limit", "not a positive number", "use 1 or more")
		}
	}
	if text := query.Get("wait_ms"); text != "" {
		if waitMS, err = strconv.Atoi(text); err != nil || waitMS < 0 {
			return 0, 0, 0, apierror.InvalidField("wait_ms", "not a number of milliseconds", "use 0 or more")
		}
	}
	return from, limit, min(time.Duration(waitMS)*time.Millisecond, maxWait), nil
}

// writeFailure responds to a failed request. If the log service is down or the response counts as lost, it closes the
// connection without a response.
func (s *Server) writeFailure(w http.ResponseWriter, err error) {
	mode := s.log.faults.current().Mode
	if mode == Down || apierror.KindOf(err) == apierror.Unknown {
		panic(http.ErrAbortHandler)
	}
	writeError(w, err)
}

func (s *Server) handleControl(w http.ResponseWriter, r *http.Request) {
	var control Control
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<10)).Decode(&control); err != nil {
		writeError(w, apierror.New(apierror.Invalid, "control: "+err.Error(), `send {"mode":"up"}`))
		return
	}
	if err := s.log.SetMode(control); err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, control)
}

func (s *Server) handleStats(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.Stats())
}

func writeError(w http.ResponseWriter, err error) {
	status := apierror.HTTPStatus(apierror.KindOf(err))
	if apierror.KindOf(err) == apierror.Overloaded {
		status = http.StatusTooManyRequests
		w.Header().Set("Retry-After", "1")
	}
	var typed *apierror.Error
	if !errors.As(err, &typed) {
		typed = apierror.New(apierror.Internal, err.Error(), "")
	}
	writeJSON(w, status, typed)
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}
