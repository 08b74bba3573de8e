package soak

import (
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/laburnumcleat/laburnumcleat/pkg/sidecar"
)

const (
	smallMemoryMB     = 184 // of the smallest VM that the platform states
	endlessDuration   = 4 * time.Second
	endlessCallers    = 6  // of each node
	stalledConns      = 10 // of each node: callers that send requests and do not read the responses
	stalledPipeline   = 8  // requests on each of these connections
	kilobytesPerMB    = 1000
	procStatusKBBytes = 1024
)

// Guards against a process that runs out of memory, which loses the requests of all its callers, when a backend server sends bytes without end: in a
// header, in a body without a length, or in tiny chunks, to callers that read them and to callers that do not.
func TestEndlessResponses(t *testing.T) {
	reportViolations(t, runEndlessResponses(t, program, 0, len(services)))
}

// runEndlessResponses plays each kind of endless response once and returns the violations. Nothing in it depends on a seed.
func runEndlessResponses(t *testing.T, program string, seed uint64, size int) (found []violation) {
	for _, fault := range []misbehaviour{sendsEndlessHeader, sendsEndlessBody, sendsEndlessChunks} {
		found = append(found, runEndlessResponse(t, program, fault, seed, min(size, len(services)))...)
	}
	return found
}

func runEndlessResponse(t *testing.T, program string, fault misbehaviour, seed uint64, size int) []violation {
	cl := newAdjustedCluster(t, program, size, func(s *sidecar.Settings) { s.MemoryMB = smallMemoryMB })
	endFault := cl.checker.beginFault()
	cl.startCallers(endlessCallers)
	var stalled []net.Conn
	for _, n := range cl.nodes {
		n.backend.misbehave(fault)
		for i := range stalledConns {
			stalled = append(stalled, stalledCaller(t, cl, n, i))
		}
	}
	time.Sleep(endlessDuration)
	for _, n := range cl.nodes {
		n.backend.misbehave(correct)
	}
	for _, conn := range stalled {
		conn.Close()
	}
	endFault()
	if missing := cl.unservedRoutes(recoveryBound); len(missing) > 0 {
		cl.checker.addViolation(guaranteeRecovery, "not served %s after the end of %s: %s", recoveryBound, fault, strings.Join(missing, ", "))
	}
	for _, n := range cl.nodes {
		peak := peakMemoryMB(t, n.process.PID())
		t.Logf("%s: %s: peak memory %.0f MB", fault, n.id, peak)
		if peak > smallMemoryMB {
			cl.checker.addViolation(guaranteeMemory, "%s used %.0f MB while backend servers showed %s", n.id, peak, fault)
		}
	}
	return cl.finish(t, seed)
}

// stalledCaller opens a connection, sends pipelined requests and returns it without reading the responses.
func stalledCaller(t *testing.T, cl *cluster, n *node, number int) net.Conn {
	conn, err := net.Dial("tcp", n.settings.Listen.Callers)
	require.NoError(t, err)
	c := &caller{cluster: cl, node: n, name: fmt.Sprintf("%s-s%d", n.id, number)}
	var text strings.Builder
	for range stalledPipeline {
		a := c.newAttempt("read", "/read/", false)
		cl.checker.recordRequest(a)
		c.writeRequest(&text, a)
	}
	_, err = io.WriteString(conn, text.String())
	require.NoError(t, err)
	return conn
}

// peakMemoryMB returns the largest resident memory that a running process has had.
func peakMemoryMB(t *testing.T, pid int) float64 {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	require.NoError(t, err)
	_, rest, ok := strings.Cut(string(status), "VmHWM:")
	require.True(t, ok)
	kilobytes, err := strconv.ParseFloat(strings.Fields(rest)[0], 64)
	require.NoError(t, err)
	return kilobytes * procStatusKBBytes / (kilobytesPerMB * kilobytesPerMB)
}
