package load

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/laburnumcleat/laburnumcleat/pkg/callctx"
	"github.com/laburnumcleat/laburnumcleat/pkg/client"
)

// answer is the result of one call.
type answer struct {
	id      string
	outcome callctx.Outcome
	reason  callctx.Reason
	status  int
	body    []byte
	sends   []client.Send
}

// caller makes calls in one of two ways.
type caller interface {
	call(ctx context.Context, s *Stream, body []byte) answer
	close()
}

func newCaller(o *Options) (caller, error) {
	if o.Plain {
		transport := &http.Transport{MaxIdleConnsPerHost: 256, IdleConnTimeout: callctx.ConnectionIdleTimeout, DisableCompression: true}
		return &plainCaller{nodes: o.Nodes, queues: newQueues(o), client: &http.Client{Transport: transport}}, nil
	}
	c, err := client.New(client.Options{Nodes: o.Nodes})
	if err != nil {
		return nil, err
	}
	return &clientCaller{client: c}, nil
}

func headerOf(s *Stream) http.Header {
	header := make(http.Header, len(s.Headers))
	for name, value := range s.Headers {
		header.Set(name, value)
	}
	return header
}

// clientCaller uses pkg/client.
type clientCaller struct {
	client *client.Client
}

func (c *clientCaller) close() { c.client.Close() }

func (c *clientCaller) call(ctx context.Context, s *Stream, body []byte) answer {
	response, err := c.client.Do(ctx, client.Request{Method: s.Method, Path: s.Path, Header: headerOf(s), Body: body})
	if err == nil {
		return answer{id: response.RequestID, outcome: callctx.Answered, status: response.Status, body: response.Body, sends: response.Sends}
	}
	var failed *client.Error
	if !errors.As(err, &failed) {
		return answer{outcome: callctx.Unknown, reason: callctx.ConnectionLost}
	}
	return answer{id: failed.RequestID, outcome: failed.Outcome, reason: failed.Reason, sends: failed.Sends}
}

// plainCaller sends one request for each call, as a caller without pkg/client would, but with a request id of its own so
// that the records can be checked.
type plainCaller struct {
	nodes  []string
	queues []chan struct{} // by node; empty: none
	client *http.Client
	next   atomic.Uint64
}

func newQueues(o *Options) []chan struct{} {
	if o.FIFO <= 0 {
		return nil
	}
	queues := make([]chan struct{}, len(o.Nodes))
	for i := range queues {
		queues[i] = make(chan struct{}, o.FIFO)
	}
	return queues
}

func (p *plainCaller) close() { p.client.CloseIdleConnections() }

func (p *plainCaller) call(ctx context.Context, s *Stream, body []byte) answer {
	id := callctx.NewRequestID()
	turn := p.next.Add(1) % uint64(len(p.nodes))
	node := p.nodes[turn]
	if len(p.queues) > 0 {
		// Goroutines that wait for a channel are served in order of arrival.
		select {
		case p.queues[turn] <- struct{}{}:
			defer func() { <-p.queues[turn] }()
		case <-ctx.Done():
			return answer{id: id, outcome: callctx.NotRun, reason: callctx.DeadlineExpired}
		}
	}
	lost := answer{id: id, outcome: callctx.Unknown, reason: callctx.ConnectionLost}
	request, err := http.NewRequestWithContext(ctx, s.Method, "http://"+node+s.Path, bytes.NewReader(body))
	if err != nil {
		return answer{id: id, outcome: callctx.NotRun, reason: callctx.BadRequest}
	}
	request.GetBody = nil
	request.Header = headerOf(s)
	request.Header.Set(callctx.HeaderRequestID, id)
	request.Header.Set(callctx.HeaderAttempt, "1")
	if deadline, ok := ctx.Deadline(); ok {
		request.Header.Set(callctx.HeaderTimeoutMS, strconv.FormatInt(max(time.Until(deadline).Milliseconds(), 0), 10))
	}
	response, err := p.client.Do(request)
	if err != nil {
		return lost
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		lost.reason = callctx.ResponseTruncated
		return lost
	}
	return answer{
		id: id, status: response.StatusCode, body: content,
		outcome: outcomeOf(response),
		reason:  callctx.Reason(response.Header.Get(callctx.HeaderReason)),
	}
}

// outcomeOf returns the outcome in a response. A response without one comes from a baseline without nodes: status 503
// and 429 count as refused there.
func outcomeOf(response *http.Response) callctx.Outcome {
	if outcome := callctx.Outcome(response.Header.Get(callctx.HeaderOutcome)); outcome != "" {
		return outcome
	}
	if response.StatusCode == http.StatusServiceUnavailable || response.StatusCode == http.StatusTooManyRequests {
		return callctx.NotRun
	}
	return callctx.Answered
}
