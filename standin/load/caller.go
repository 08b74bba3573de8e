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

// callResult is the result of one call.
type callResult struct {
	id      string
	outcome callctx.Outcome
	reason  callctx.Reason
	status  int
	body    []byte
	sends   []client.Send
}

// caller makes calls, through pkg/client or with plain HTTP.
type caller interface {
	call(ctx context.Context, s *Stream, body []byte) callResult
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

func requestHeader(s *Stream) http.Header {
	header := make(http.Header, len(s.Headers))
	for name, value := range s.Headers {
		header.Set(name, value)
	}
	return header
}

// clientCaller makes calls through pkg/client.
type clientCaller struct {
	client *client.Client
}

func (c *clientCaller) close() { c.client.Close() }

func (c *clientCaller) call(ctx context.Context, s *Stream, body []byte) callResult {
	response, err := c.client.Do(ctx, client.Request{Method: s.Method, Path: s.Path, Header: requestHeader(s), Body: body})
	if err == nil {
		return callResult{id: response.RequestID, outcome: callctx.Answered, status: response.Status, body: response.Body, sends: response.Sends}
	}
	var failed *client.Error
	if !errors.As(err, &failed) {
		return callResult{outcome: callctx.Unknown, reason: callctx.ConnectionLost}
	}
	return callResult{id: failed.RequestID, outcome: failed.Outcome, reason: failed.Reason, sends: failed.Sends}
}

// plainCaller sends one HTTP request per call to the nodes in round-robin order, as a caller without pkg/client does. It
// sets a request id, so that the records can be verified.
type plainCaller struct {
	nodes  []string
	queues []chan struct{} // semaphore of each node; empty: no queues
	client *http.Client
	next   atomic.Uint64
}

func newQueues(o *Options) []chan struct{} {
	if o.PlainConcurrency <= 0 {
		return nil
	}
	queues := make([]chan struct{}, len(o.Nodes))
	for i := range queues {
		queues[i] = make(chan struct{}, o.PlainConcurrency)
	}
	return queues
}

func (p *plainCaller) close() { p.client.CloseIdleConnections() }

func (p *plainCaller) call(ctx context.Context, s *Stream, body []byte) callResult {
	id := callctx.NewRequestID()
	index := p.next.Add(1) % uint64(len(p.nodes))
	node := p.nodes[index]
	if len(p.queues) > 0 {
		// Goroutines that block on a channel send proceed in FIFO order.
		select {
		case p.queues[index] <- struct{}{}:
			defer func() { <-p.queues[index] }()
		case <-ctx.Done():
			return callResult{id: id, outcome: callctx.NotRun, reason: callctx.DeadlineExpired}
		}
	}
	unknown := callResult{id: id, outcome: callctx.Unknown, reason: callctx.ConnectionLost}
	request, err := http.NewRequestWithContext(ctx, s.Method, "http://"+node+s.Path, bytes.NewReader(body))
	if err != nil {
		return callResult{id: id, outcome: callctx.NotRun, reason: callctx.BadRequest}
	}
	request.GetBody = nil
	request.Header = requestHeader(s)
	request.Header.Set(callctx.HeaderRequestID, id)
	request.Header.Set(callctx.HeaderAttempt, "1")
	if deadline, ok := ctx.Deadline(); ok {
		request.Header.Set(callctx.HeaderTimeoutMS, strconv.FormatInt(max(time.Until(deadline).Milliseconds(), 0), 10))
	}
	response, err := p.client.Do(request)
	if err != nil {
		return unknown
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		unknown.reason = callctx.ResponseTruncated
		return unknown
	}
	return callResult{
		id: id, status: response.StatusCode, body: content,
		outcome: outcomeOf(response),
		reason:  callctx.Reason(response.Header.Get(callctx.HeaderReason)),
	}
}

// outcomeOf returns the outcome of a response. A response without the outcome header comes directly from a backend server,
// in a baseline without nodes; its status 503 or 429 counts as a refusal.
func outcomeOf(response *http.Response) callctx.Outcome {
	if outcome := callctx.Outcome(response.Header.Get(callctx.HeaderOutcome)); outcome != "" {
		return outcome
	}
	if response.StatusCode == http.StatusServiceUnavailable || response.StatusCode == http.StatusTooManyRequests {
		return callctx.NotRun
	}
	return callctx.Answered
}
