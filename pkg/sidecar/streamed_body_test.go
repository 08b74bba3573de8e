package sidecar

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/laburnumcleat/laburnumcleat/pkg/hop"
	"github.com/laburnumcleat/laburnumcleat/pkg/routing"
)

// A long body is streamed from the caller. After a refusal by another node part of it may have been consumed, and a retry would send the
// rest as if it were the full body. A refusal by the local node consumes nothing, so another attempt is allowed.
func TestStopReason_StreamedBodySentOnce(t *testing.T) {
	o := &outbound{self: "a"}
	route := &routing.Entry{Route: &routing.Route{Idempotent: true, MaxAttempts: 3}}
	short := &request{deadline: time.Now().Add(time.Second), route: route, out: &hop.Request{}}
	long := &request{deadline: short.deadline, route: route, out: &hop.Request{Stream: strings.NewReader("rest"), Length: -1}}
	refused := func(node string) *result {
		return &result{callReply: callReply{verdict: verdictNotRun, reason: reasonFull}, node: node}
	}
	assert.Empty(t, o.stopReason(long, refuse(0, reasonNoEndpoint)), "first attempt")
	assert.Empty(t, o.stopReason(long, refused("a")))
	assert.Equal(t, reasonFull, o.stopReason(long, refused("b")))
	assert.Empty(t, o.stopReason(short, refused("b")))
}
