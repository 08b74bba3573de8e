package node

import (
	"bufio"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"github.com/laburnumcleat/laburnumcleat/pkg/graceful"
)

// Guards against requests that are lost in the accept backlog during a planned stop. The accept loop starts only after the request was
// sent and the stop has begun.
func TestListenersClose_AnswersRequestsInAcceptBacklog(t *testing.T) {
	listener, err := graceful.Listen("127.0.0.1:0")
	require.NoError(t, err)
	client, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	defer client.Close()
	_, err = client.Write([]byte("POST /payment HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nok"))
	require.NoError(t, err)

	var l listeners
	var group errgroup.Group
	refuse := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) })
	l.serveHTTP(&group, listener, refuse, nil)
	require.NoError(t, l.close())
	require.NoError(t, group.Wait(), "closing a drained listener must not be reported as a server failure")

	require.NoError(t, client.SetReadDeadline(time.Now().Add(time.Minute)))
	response, err := http.ReadResponse(bufio.NewReader(client), nil)
	require.NoError(t, err)
	assert.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
}
