package inbound

import (
	"context"
	"errors"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/laburnumcleat/laburnumcleat/pkg/callctx"
	"github.com/laburnumcleat/laburnumcleat/pkg/internal/endingctx"
)

// Guards against a deadline that passes while a failure is classified and is taken for a caller who has left.
func TestClassify_DeadlinePassesMeanwhile(t *testing.T) {
	after := func(reads int) context.Context {
		return &endingctx.Context{Context: context.Background(), Reads: reads}
	}
	assert.Equal(t, callctx.DeadlineExpired, classifyUnsent(after(0), errors.New("refused")).reason)
	assert.Equal(t, callctx.BackendUnreachable, classifyUnsent(after(1), errors.New("refused")).reason)
	assert.Equal(t, callctx.DeadlineInBackend, classifyInterrupted(after(0), callctx.ConnectionLost).reason)
	assert.Equal(t, callctx.ConnectionLost, classifyInterrupted(after(1), callctx.ConnectionLost).reason)
}
