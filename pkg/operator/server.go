package operator

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"mime"
	"net/http"
	"runtime/debug"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/laburnumcleat/laburnumcleat/pkg/apierror"
	"github.com/laburnumcleat/laburnumcleat/pkg/metrics"
)

const jsonType = "application/json"

// retryAfterSeconds is told to callers that are refused because too many requests are in progress.
const retryAfterSeconds = 2

type server struct {
	Options
	auth       *authenticator
	mux        *http.ServeMux
	publishing chan struct{}
	validating chan struct{}
}

// handlerFunc returns the value to send as JSON, or an error. The body is that of a POST.
type handlerFunc func(r *http.Request, c caller, body []byte) (any, error)

func newServer(o Options) *server {
	o.Limits = o.Limits.withDefaults()
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	if o.Metrics == nil {
		o.Metrics = metrics.New()
	}
	s := &server{
		Options:    o,
		auth:       newAuthenticator(o.Tokens, o.DisableAuthentication),
		mux:        http.NewServeMux(),
		publishing: make(chan struct{}, o.Limits.ConcurrentPublishes),
		validating: make(chan struct{}, o.Limits.ConcurrentValidations),
	}
	if o.DisableAuthentication {
		o.Logger.Warn("operator_authentication_disabled", zap.String("remedy", "configure tokens before others can reach this address"))
	}
	s.routes()
	return s
}

func (s *server) routes() {
	s.handlePost("/v1/records", RoleRead, maxRecordBodyBytes, s.publish)
	s.handlePost("/v1/validate", RoleRead, s.Limits.ValidateBodyBytes, s.validate)
	s.handleGet("/v1/entities", RoleRead, s.entities)
	s.handleGet("/v1/entities/{kind}/{name...}", RoleRead, s.entity)
	s.handleGet("/v1/snapshot", RoleRead, s.snapshot)
	s.handleGet("/v1/status", RoleRead, s.status)
	s.handleGet("/v1/members", RoleRead, s.members)
	s.handlePost("/v1/members/{id}/remove", RoleAdmin, maxSmallBodyBytes, s.removeMember)
	s.handleGet("/v1/explain", RoleRead, s.explain)
	s.handlePost("/v1/drain", RoleAdmin, maxSmallBodyBytes, s.drain)
	s.handlePost("/v1/backend", RoleBackend, maxSmallBodyBytes, s.announce)
	s.mux.HandleFunc("GET /metrics", s.metricsText)
	s.mux.HandleFunc("GET /healthz", s.healthz)
	s.mux.HandleFunc("GET /readyz", s.readyz)
}

// ServeHTTP implements http.Handler. A panic in a handler is answered as an internal error and logged.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	defer func() {
		if cause := recover(); cause != nil {
			s.Metrics.Inc("operator_panics")
			s.Logger.Error("operator_handler_panic", zap.Any("cause", cause), zap.ByteString("stack", debug.Stack()))
			s.writeError(w, apierror.New(apierror.Internal, "internal error", "see the log of this node"))
		}
	}()
	// A connection that takes no responses would hold its goroutine for ever.
	deadline := time.Now().Add(s.Limits.BodyTimeout + s.Limits.PublishTimeout + writeTime)
	if err := http.NewResponseController(w).SetWriteDeadline(deadline); err != nil && !errors.Is(err, http.ErrNotSupported) {
		s.Logger.Debug("operator_write_deadline", zap.Error(err))
	}
	_, pattern := s.mux.Handler(r)
	if pattern == "" {
		s.writeUnrouted(w, r)
		return
	}
	s.mux.ServeHTTP(w, r)
}

// writeUnrouted answers requests that match no pattern with a typed error in place of the mux's plain text.
func (s *server) writeUnrouted(w http.ResponseWriter, r *http.Request) {
	probe := &statusRecorder{header: make(http.Header)}
	s.mux.ServeHTTP(probe, r)
	if probe.status == http.StatusMethodNotAllowed {
		allowed := probe.header.Get("Allow")
		w.Header().Set("Allow", allowed)
		s.write(w, http.StatusMethodNotAllowed, ErrorBody{Errors: apierror.List{
			apierror.New(apierror.Invalid, "method "+r.Method+" is not allowed here", "use "+allowed)}})
		return
	}
	s.writeError(w, apierror.New(apierror.NotFound, "no such path "+strconv.Quote(r.URL.Path), "see the list of paths in docs/design.md, section 4.1"))
}

// statusRecorder keeps the status and header of a response and drops its body.
type statusRecorder struct {
	header http.Header
	status int
}

func (p *statusRecorder) Header() http.Header         { return p.header }
func (p *statusRecorder) Write(b []byte) (int, error) { return len(b), nil }
func (p *statusRecorder) WriteHeader(status int)      { p.status = status }

func (s *server) handleGet(path string, role Role, handler func(r *http.Request) (any, error)) {
	s.handle("GET "+path, role, func(_ http.ResponseWriter, r *http.Request, _ caller) (any, error) {
		return handler(r)
	})
}

// handlePost registers a handler whose request body has up to limit bytes.
func (s *server) handlePost(path string, role Role, limit int64, handler handlerFunc) {
	s.handle("POST "+path, role, func(w http.ResponseWriter, r *http.Request, c caller) (any, error) {
		body, err := s.readBody(w, r, limit)
		if err != nil {
			return nil, err
		}
		return handler(r, c, body)
	})
}

// handle authenticates before anything of the body is read.
func (s *server) handle(pattern string, role Role, handler func(w http.ResponseWriter, r *http.Request, c caller) (any, error)) {
	s.mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		c, authErr := s.auth.authenticate(r)
		if authErr == nil && !c.has(role) {
			authErr = forbidden(c, role)
		}
		if authErr != nil {
			s.Metrics.Inc("operator_refused", "reason", string(authErr.Kind))
			s.writeError(w, authErr)
			return
		}
		answer, err := handler(w, r, c)
		if err != nil {
			s.writeError(w, err)
			return
		}
		s.writeAnswer(w, answer)
	})
}

// statusAnswer is an answer with a status other than 200.
type statusAnswer struct {
	status int
	body   any
}

func (s *server) writeAnswer(w http.ResponseWriter, answer any) {
	if special, ok := answer.(statusAnswer); ok {
		s.write(w, special.status, special.body)
		return
	}
	s.write(w, http.StatusOK, answer)
}

func (s *server) writeError(w http.ResponseWriter, err error) {
	kind := apierror.KindOf(err)
	if kind == apierror.Overloaded || kind == apierror.Unavailable {
		w.Header().Set("Retry-After", strconv.Itoa(retryAfterSeconds))
	}
	if kind == apierror.Unauthenticated {
		w.Header().Set("WWW-Authenticate", "Bearer")
	}
	s.Metrics.Inc("operator_errors", "kind", string(kind))
	s.write(w, apierror.HTTPStatus(kind), ErrorBody{Errors: errorList(err)})
}

func (s *server) write(w http.ResponseWriter, status int, body any) {
	encoded, err := json.Marshal(body)
	if err != nil {
		s.Logger.Error("operator_encoding", zap.Error(err))
		status, encoded = http.StatusInternalServerError, []byte(`{"errors":[{"kind":"internal","message":"the answer could not be encoded"}]}`)
	}
	w.Header().Set("Content-Type", jsonType)
	w.Header().Set("Content-Length", strconv.Itoa(len(encoded)))
	w.WriteHeader(status)
	if _, err := w.Write(encoded); err != nil {
		s.Logger.Debug("operator_write", zap.Error(err))
	}
}

// errorList returns the typed errors in err. Other errors become kind internal.
func errorList(err error) apierror.List {
	var list apierror.List
	if errors.As(err, &list) {
		return list
	}
	var single *apierror.Error
	if errors.As(err, &single) {
		return apierror.List{single}
	}
	return apierror.List{apierror.New(apierror.Internal, err.Error(), "see the log of this node")}
}

// readBody reads a JSON request body of up to limit bytes. Other content types are refused, because a web page may send
// them to this address without the consent of its user.
func (s *server) readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	mediaType, _, err := mime.ParseMediaType(r.Header.Get("Content-Type"))
	if err != nil || mediaType != jsonType {
		return nil, apierror.New(apierror.Invalid, "the content type is not "+jsonType, "set header Content-Type: "+jsonType)
	}
	body, err := s.readInTime(w, r, limit)
	if err != nil {
		return nil, apierror.New(apierror.Invalid, "the request body could not be read: "+err.Error(), fmt.Sprintf("send it within %s", s.Limits.BodyTimeout))
	}
	if int64(len(body)) > limit {
		return nil, apierror.New(apierror.TooLarge, fmt.Sprintf("the request body exceeds %d bytes", limit), "send less at a time")
	}
	return body, nil
}

// readInTime reads up to one byte more than limit. The deadline is lifted afterwards, because net/http would take its
// passing for the end of the connection and cancel the request.
func (s *server) readInTime(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	controller := http.NewResponseController(w)
	if err := controller.SetReadDeadline(time.Now().Add(s.Limits.BodyTimeout)); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return nil, err
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if err != nil {
		return nil, err
	}
	if err := controller.SetReadDeadline(time.Time{}); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return nil, err
	}
	return body, nil
}

// acquire takes a place in a bounded group. It does not wait.
func acquire(places chan struct{}) (release func(), err error) {
	select {
	case places <- struct{}{}:
		return func() { <-places }, nil
	default:
		return nil, apierror.New(apierror.Overloaded, "too many requests of this kind are in progress", fmt.Sprintf("repeat after %d s", retryAfterSeconds))
	}
}
