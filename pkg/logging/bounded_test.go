package logging

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

// slowOutput blocks until it is released.
type slowOutput struct {
	release chan struct{}
	mu      sync.Mutex
	text    bytes.Buffer
}

func (s *slowOutput) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(p)
}

func TestAsyncWriter_DropsLinesWhileOutputBlocks(t *testing.T) {
	out := &slowOutput{release: make(chan struct{})}
	logger, bounded, err := NewAsync(out, "info", 10)
	require.NoError(t, err)
	for i := range 100 {
		logger.Info("event", zap.Int("number", i)) // would hang if it waited
	}
	assert.GreaterOrEqual(t, bounded.Dropped(), int64(80))
	close(out.release)
	require.Eventually(t, func() bool {
		bounded.Flush(time.Second)
		out.mu.Lock()
		defer out.mu.Unlock()
		return strings.Contains(out.text.String(), "event=log_lines_dropped")
	}, time.Minute, 10*time.Millisecond)
	assert.Contains(t, out.text.String(), "event=event number=0")
	assert.Zero(t, bounded.Dropped())
	_, _, err = NewAsync(out, "loud", 1)
	assert.Error(t, err)
}
