package hop

import (
	"context"
	"errors"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/laburnumcleat/laburnumcleat/pkg/internal/endingctx"
)

// Guards against a deadline that passes while the cause is determined and is taken for a caller who has left.
func TestCauseOf_DeadlinePassesMeanwhile(t *testing.T) {
	for reads, want := range []Cause{DeadlineExceeded, ConnectionLost} {
		ctx := &endingctx.Context{Context: context.Background(), Reads: reads}
		assert.Equal(t, want, causeOf(ctx, errors.New("closed"), ConnectionLost), "%d reads before the deadline", reads)
	}
}
