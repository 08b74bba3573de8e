package outbound

import (
	"context"
	"errors"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/laburnumcleat/laburnumcleat/pkg/callctx"
	"github.com/laburnumcleat/laburnumcleat/pkg/internal/endingctx"
	"github.com/laburnumcleat/laburnumcleat/pkg/transport"
)

// Guards against a deadline that passes while a failure is classified and is taken for a caller who has left.
func TestClassify_DeadlinePassesMeanwhile(t *testing.T) {
	after := func(reads int) context.Context {
		return &endingctx.Context{Context: context.Background(), Reads: reads}
	}
	c := &call{request: httptest.NewRequest("GET", "/", nil)}
	unsent, lost := &transport.Error{Cause: errors.New("refused")}, errors.New("closed")
	assert.Equal(t, callctx.DeadlineExpired, failedReply(after(0), c, unsent).reason)
	assert.Equal(t, callctx.BackendUnreachable, failedReply(after(1), c, unsent).reason)
	assert.Equal(t, callctx.DeadlineInBackend, failedReply(after(0), c, lost).reason)
	assert.Equal(t, callctx.ConnectionLost, failedReply(after(1), c, lost).reason)
	assert.Equal(t, callctx.DeadlineInBackend, truncatedReply(after(0), c).reason)
	assert.Equal(t, callctx.ResponseTruncated, truncatedReply(after(1), c).reason)
}
