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

// handlerFunc returns the value to send as JSON, or an error.
type handlerFunc func(r *http.Request, c caller) (any, error)

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
		publishing: make(chan struct{}, o.Limits.PublishAtOnce),
		validating: make(chan struct{}, o.Limits.ValidateAtOnce),
	}
	if o.DisableAuthentication {
		o.Logger.Warn("operator_authentication_disabled", zap.String("remedy", "configure tokens before others can reach this address"))
	}
	s.routes()
	return s
}

func (s *server) routes() {
	s.handle("POST /v1/records", RoleRead, s.publish)
	s.handle("POST /v1/validate", RoleRead, s.validate)
	s.handle("GET /v1/entities", RoleRead, s.entities)
	s.handle("GET /v1/entities/{kind}/{name...}", RoleRead, s.entity)
	s.handle("GET /v1/snapshot", RoleRead, s.snapshot)
	s.handle("GET /v1/status", RoleRead, s.status)
	s.handle("GET /v1/members", RoleRead, s.members)
	s.handle("POST /v1/members/{id}/remove", RoleAdmin, s.removeMember)
	s.handle("GET /v1/explain", RoleRead, s.explain)
	s.handle("POST /v1/drain", RoleAdmin, s.drain)
	s.handle("POST /v1/backend", RoleBackend, s.announce)
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

func (s *server) handle(pattern string, role Role, handler handlerFunc) {
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
		answer, err := handler(r, c)
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
func readBody(r *http.Request, limit int64) ([]byte, error) {
	mediaType, _, err := mime.ParseMediaType(r.Header.Get("Content-Type"))
	if err != nil || mediaType != jsonType {
		return nil, apierror.New(apierror.Invalid, "the content type is not "+jsonType, "set header Content-Type: "+jsonType)
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if err != nil {
		return nil, apierror.New(apierror.Invalid, "the request body could not be read: "+err.Error(), "send it again")
	}
	if int64(len(body)) > limit {
		return nil, apierror.New(apierror.TooLarge, fmt.Sprintf("the request body exceeds %d bytes", limit), "send less at a time")
	}
	return body, nil
}

// decodeBody decodes a JSON body and refuses unknown fields.
func decodeBody(r *http.Request, limit int64, into any) error {
	body, err := readBody(r, limit)
	if err != nil {
		return err
	}
	return decodeStrict(body, into)
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
