package outbound

import (
	"testing"

	"go.uber.org/goleak"
)

// Guards against attempts, hedges and streams that go on after their call has ended.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}
