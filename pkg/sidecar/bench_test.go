package sidecar

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// BenchmarkRequest measures a small request on a persistent connection, served by the local backend server or through another node. Time
// and allocations include client, nodes and backend server, which all run in this process.
func BenchmarkRequest(b *testing.B) {
	for name, leaving := range map[string]int{"own backend server": 1, "another node": 0} {
		b.Run(name, func(b *testing.B) {
			m := newMesh(b, 2)
			first := m.nodes[0]
			m.nodes[leaving].announce(true)
			m.eventually("one backend server remains", func() bool { return len(first.endpoints("s")) == 1 })
			conn, err := net.Dial("tcp", first.settings.Listen.Callers)
			require.NoError(b, err)
			defer conn.Close()
			reader := bufio.NewReader(conn)
			b.ReportAllocs()
			for b.Loop() {
				oneRequest(b, conn, reader)
			}
		})
	}
}

func oneRequest(b *testing.B, conn net.Conn, reader *bufio.Reader) {
	_, err := io.WriteString(conn, "GET /safe/x HTTP/1.1\r\nHost: h.example\r\nTest-Id: a\r\nTest-Deadline: 5000\r\n\r\n")
	require.NoError(b, err)
	response, err := http.ReadResponse(reader, nil)
	require.NoError(b, err)
	_, err = io.Copy(io.Discard, response.Body)
	require.NoError(b, err)
	require.Equal(b, http.StatusOK, response.StatusCode)
}
