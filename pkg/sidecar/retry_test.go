package sidecar

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/laburnumcleat/laburnumcleat/pkg/hop"
	"github.com/laburnumcleat/laburnumcleat/pkg/routing"
)

// A long body is read from the caller as it is sent on. What another node has refused may have lost a part of it: sent again, the rest
// would be taken for the whole. A refusal of the own node reads nothing.
func TestLongBodyIsSentOnce(t *testing.T) {
	o := &outbound{self: "a"}
	route := &routing.Entry{Route: &routing.Route{Idempotent: true, MaxAttempts: 3}}
	short := &request{deadline: time.Now().Add(time.Second), route: route, out: &hop.Request{}}
	long := &request{deadline: short.deadline, route: route, out: &hop.Request{Stream: strings.NewReader("rest"), Length: -1}}
	refused := func(node string) *result {
		return &result{ruling: ruling{verdict: notRun, reason: reasonFull}, node: node}
	}
	assert.Empty(t, o.mayTry(long, refuse(0, reasonNoEndpoint), 0, 0), "the first try")
	assert.Empty(t, o.mayTry(long, refused("a"), 0, 0))
	assert.Equal(t, reasonFull, o.mayTry(long, refused("b"), 0, 0))
	assert.Empty(t, o.mayTry(short, refused("b"), 0, 0))
}
