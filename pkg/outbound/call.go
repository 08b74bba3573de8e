package outbound

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"path"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/laburnumcleat/laburnumcleat/pkg/callctx"
	"github.com/laburnumcleat/laburnumcleat/pkg/config"
)

const (
	// deadlineGrace is how much later than the inbound node this node times out. The inbound node's refusal after a
	// missed deadline says whether the call has run; a timeout on this node does not.
	deadlineGrace = 25 * time.Millisecond

	maxBufferedRequest = 1 << 20  // bytes of a request body that are buffered for retries
	maxRequestBytes    = 64 << 20 // maximum bytes of a request body
	maxBufferedTotal   = 64 << 20 // bytes buffered for the request bodies of all calls
	bufferIncrement    = 32 << 10 // bytes reserved at a time for a body of unknown length
	maxTimeout         = 10 * time.Minute
)

// call is the state of one call from a caller.
type call struct {
	request  *http.Request
	control  *http.ResponseController
	started  time.Time
	snapshot *config.Snapshot
	route    *config.Route
	cancel   context.CancelFunc

	id       string
	idTime   time.Time
	resend   bool // an earlier attempt of this id may have run
	rank     string
	deadline time.Time
	depth    int
	parent   string

	body      []byte
	reserved  int64            // this call's share of Handler.buffered
	remainder *singleUseReader // unbuffered part of a body above maxBufferedRequest; nil if body is complete
	attempts  int
}

// release frees the resources of a call.
func (h *Handler) release(c *call) {
	h.buffered.Add(-c.reserved)
	if c.cancel != nil {
		c.cancel()
	}
	if c.remainder != nil {
		c.setReadDeadline(time.Time{})
	}
}

// setReadDeadline sets the deadline for reading the request body. Not every ResponseWriter supports read deadlines;
// without support the server's own timeouts apply.
func (c *call) setReadDeadline(until time.Time) {
	_ = c.control.SetReadDeadline(until)
}

// admit matches the route of a request, sets its limits and applies the checks that need no endpoint. It returns false
// and the reason if the call is refused.
func (h *Handler) admit(c *call) (callctx.Reason, bool) {
	c.snapshot = h.options.Snapshot()
	if c.snapshot == nil {
		return callctx.NotReady, false
	}
	if !isCanonicalPath(c.request.URL.Path) || c.request.Method == http.MethodConnect {
		return callctx.BadRequest, false
	}
	route, ok := c.snapshot.Match(c.request.Method, c.request.URL.Path)
	if !ok {
		return callctx.UnknownRoute, false
	}
	c.route = route
	if !h.readLimits(c) {
		return callctx.BadRequest, false
	}
	if c.depth > callctx.MaxDepth {
		return callctx.TooDeep, false
	}
	return h.checkTimes(c)
}

// readID reads the request id and attempt number of the request, or creates an id. It returns false if either is
// malformed.
func (h *Handler) readID(c *call) bool {
	id := c.request.Header.Get(callctx.HeaderRequestID)
	attempt := c.request.Header.Get(callctx.HeaderAttempt)
	c.resend = attempt != "1" && (id != "" || attempt != "")
	if id == "" {
		c.id = callctx.NewRequestID()
		c.idTime = c.started
		return !c.resend
	}
	createdAt, err := callctx.IDTime(id)
	if err != nil {
		c.resend = false // no node accepts such an id, so no attempt can have run
		return false
	}
	c.id, c.idTime = id, createdAt
	number, err := strconv.Atoi(attempt)
	return attempt == "" || err == nil && number >= 1
}

// isCanonicalPath reports whether a path is already normalised. A backend server that normalises "..", "." or "//" would
// otherwise serve another path than the one matched to the route.
func isCanonicalPath(p string) bool {
	if !strings.HasPrefix(p, "/") {
		return false
	}
	cleaned := path.Clean(p)
	return p == cleaned || p == cleaned+"/"
}

// readLimits sets rank, deadline and depth from the route and, for a nested call, from the signed context. The caller's
// timeout header can only shorten the deadline. It returns false if that header is malformed.
func (h *Handler) readLimits(c *call) bool {
	c.rank = c.route.Rank
	c.depth = 1
	c.deadline = c.started.Add(c.route.Timeout())
	h.inheritContext(c)
	text := c.request.Header.Get(callctx.HeaderTimeoutMS)
	if text == "" {
		return true
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms < 0 {
		return false
	}
	limit := min(time.Duration(min(ms, maxTimeout.Milliseconds()))*time.Millisecond, maxTimeout)
	c.deadline = earlierTime(c.deadline, c.started.Add(limit))
	return true
}

func (h *Handler) inheritContext(c *call) {
	header := c.request.Header.Get(callctx.HeaderContext)
	if header == "" {
		return
	}
	inherited, err := h.options.Signer.Decode(header)
	if err != nil {
		h.options.Metrics.Inc("outbound_context_rejected")
		return
	}
	if _, known := c.snapshot.RankIndex(inherited.Rank); known {
		c.rank = inherited.Rank
	}
	c.depth = inherited.Depth + 1
	c.parent = inherited.RequestID
	c.deadline = earlierTime(c.deadline, inherited.Deadline)
}

func earlierTime(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// checkTimes refuses calls whose deadline has passed, and ids that are too old or too far in the future.
func (h *Handler) checkTimes(c *call) (callctx.Reason, bool) {
	if !c.started.Before(c.deadline) {
		return callctx.DeadlineExpired, false
	}
	if c.route.Idempotent {
		return "", true
	}
	if c.idTime.Sub(c.started) > callctx.MaxClockSkew {
		return callctx.IDInFuture, false
	}
	if !c.resend && c.started.Sub(c.idTime) >= callctx.MaxFirstAttemptAge {
		return callctx.IDTooOld, false
	}
	return "", true
}

// reserve counts buffered bytes of a request body against maxBufferedTotal. It returns false if the limit is exceeded.
func (h *Handler) reserve(c *call, bytes int64) bool {
	if h.buffered.Add(bytes) > maxBufferedTotal {
		h.buffered.Add(-bytes)
		return false
	}
	c.reserved += bytes
	return true
}

var errBufferLimit = errors.New("buffers for request bodies have reached the limit of this node")

// readBody buffers the request body up to maxBufferedRequest, so that the call can be retried. It returns false and the
// reason if the call is refused.
func (h *Handler) readBody(c *call) (callctx.Reason, bool) {
	r := c.request
	if r.Body == nil || r.Body == http.NoBody {
		return "", true
	}
	if r.ContentLength > maxRequestBytes {
		return callctx.BodyTooLarge, false
	}
	c.setReadDeadline(c.deadline)
	complete, err := h.fillBody(c)
	switch {
	case errors.Is(err, errBufferLimit):
		return callctx.Overloaded, false
	case err != nil && !h.now().Before(c.deadline):
		return callctx.DeadlineExpired, false
	case err != nil:
		return callctx.BadRequest, false // the body is shorter than declared, or the caller has disconnected
	}
	if !complete {
		c.remainder = &singleUseReader{source: r.Body, remaining: maxRequestBytes - int64(len(c.body))}
		return "", true
	}
	c.setReadDeadline(time.Time{})
	return "", true
}

// fillBody reads the body up to maxBufferedRequest and reports whether the body is complete.
func (h *Handler) fillBody(c *call) (complete bool, err error) {
	length := c.request.ContentLength
	step := int64(bufferIncrement)
	if length >= 0 {
		step = min(length, maxBufferedRequest)
	}
	var buffer bytes.Buffer
	for int64(buffer.Len()) < maxBufferedRequest {
		if !h.reserve(c, step) {
			return false, errBufferLimit
		}
		buffer.Grow(int(step))
		n, err := io.CopyN(&buffer, c.request.Body, step)
		c.body = buffer.Bytes()
		if err == io.EOF && length < 0 {
			return true, nil
		}
		if err != nil {
			return false, err
		}
		if length >= 0 {
			return n == length, nil
		}
	}
	return false, nil
}

// newBody returns the body for one attempt and its length, or -1 if the length is unknown.
func (c *call) newBody() (io.Reader, int64) {
	if c.remainder == nil {
		return bytes.NewReader(c.body), int64(len(c.body))
	}
	return io.MultiReader(bytes.NewReader(c.body), c.remainder.claim()), c.request.ContentLength
}

// reclaimBody revokes the access of earlier attempts to the body, so that it can be sent again, and reports whether that was possible.
func (c *call) reclaimBody() bool {
	return c.remainder == nil || c.remainder.reclaim()
}

var (
	errBodyTooLarge = errors.New("request body exceeds 64 MiB")
	errBodyRevoked  = errors.New("request body has been taken over by a later attempt")
)

// singleUseReader reads the remainder of a request body beyond the buffer. Once a read has started, the request cannot be
// retried. Each attempt claims the reader, so that an earlier attempt that is still being written cannot consume bytes of
// a later one.
type singleUseReader struct {
	mu          sync.Mutex
	source      io.Reader
	remaining   int64
	readStarted bool
	owner       *claimedReader
}

type claimedReader struct {
	shared *singleUseReader
}

func (s *singleUseReader) claim() *claimedReader {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.owner = &claimedReader{shared: s}
	return s.owner
}

// reclaim revokes the owner's access. It returns false if a read has already started.
func (s *singleUseReader) reclaim() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.readStarted {
		return false
	}
	s.owner = nil
	return true
}

// Read implements io.Reader.
func (r *claimedReader) Read(p []byte) (int, error) {
	shared := r.shared
	shared.mu.Lock()
	defer shared.mu.Unlock()
	if shared.owner != r {
		return 0, errBodyRevoked
	}
	shared.readStarted = true
	if shared.remaining <= 0 {
		return 0, errBodyTooLarge
	}
	n, err := shared.source.Read(p[:min(int64(len(p)), shared.remaining)])
	shared.remaining -= int64(n)
	return n, err
}
