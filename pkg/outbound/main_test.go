package outbound

import (
	"testing"

	"go.uber.org/goleak"
)

// Guards against goroutines of attempts, hedges and streams that outlive their call.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}
