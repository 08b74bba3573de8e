package failures

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/laburnumcleat/laburnumcleat/pkg/apierror"
	"github.com/laburnumcleat/laburnumcleat/pkg/config"
	"github.com/laburnumcleat/laburnumcleat/pkg/operator"
	"github.com/laburnumcleat/laburnumcleat/pkg/rpc"
	"github.com/laburnumcleat/laburnumcleat/standin/fleet"
)

func startSecure(t *testing.T) *cluster {
	c := startCluster(t, fleet.Falaj(), func(o *fleet.Options) { o.Secure = true })
	c.publishExamples()
	require.NoError(t, c.WaitEndpoints(c.ctx, settleTimeout))
	return c
}

// Guards against ports that accept processes without a certificate or operators without a token.
func TestUnauthenticatedAccessIsRefused(t *testing.T) {
	c := startSecure(t)
	n := c.Nodes[0]
	for _, token := range []string{"", "not-a-token-of-this-fleet"} {
		client := operator.NewClient([]string{n.APIURL}, token, c.Transport())
		_, err := client.Members(c.ctx)
		require.Equal(t, apierror.Unauthenticated, apierror.KindOf(err), "%v", err)
	}
	backendOnly := operator.NewClient([]string{n.APIURL}, c.BackendToken(), c.Transport())
	_, err := backendOnly.Publish(c.ctx, &config.Record{ID: "0190a2b4-0000-7000-8000-000000000000", Verb: config.Retire,
		Entity: config.Entity{Kind: config.KindTemplate, Name: "ranks"}, Base: 1})
	require.Equal(t, apierror.Forbidden, apierror.KindOf(err), "%v", err)

	plainRPC := rpc.NewClient(&rpc.Counters{}, nil)
	defer plainRPC.Close()
	ctx, cancel := context.WithTimeout(c.ctx, callTimeout)
	defer cancel()
	require.Error(t, plainRPC.Call(ctx, c.ControlAddress(0), "node.status", struct{}{}, nil), "plain JSON-RPC")
	response, err := http.Get("http://" + c.NodesAddress(0) + "/")
	if err == nil {
		response.Body.Close()
		require.Equal(t, http.StatusBadRequest, response.StatusCode, "plain HTTP on the nodes port")
	}
	anonymous := http.Client{Transport: c.Transport(), Timeout: callTimeout}
	_, err = anonymous.Get("https://" + c.NodesAddress(0) + "/")
	require.ErrorContains(t, err, "certificate required", "TLS without a client certificate")
	// An idle connection does not block others.
	idleConnection, err := net.DialTimeout("tcp", c.ControlAddress(0), time.Second)
	require.NoError(t, err)
	defer idleConnection.Close()
	_, err = n.Client().Members(c.ctx)
	require.NoError(t, err)
}

// Guards against key rotation that needs a restart or partitions the nodes with old keys from those with new keys.
func TestKeyRotationWithoutRestart(t *testing.T) {
	c := startSecure(t)
	version := c.publishCanary()
	require.NoError(t, c.WaitVersion(c.ctx, settleTimeout, version, c.Nodes))
	require.NoError(t, c.RotateKeys())
	restarted := c.Nodes[len(c.Nodes)-1]
	restarted.KillVM() // forces new connections, with the new certificates, in both directions
	require.NoError(t, restarted.RestartVM())
	require.NoError(t, c.WaitEndpoints(c.ctx, settleTimeout), "all nodes accept the restarted node")
	c.eventually("a version is published after the rotation", func() bool {
		result, err := c.publish(c.Nodes[0], config.Amend, canaryParameters, c.canaryPayload(2))
		return err == nil && result.Outcome == config.Accepted
	})
	for _, n := range c.Nodes {
		c.eventually(n.ID+" serves generation 2", func() bool { return c.servesGeneration(n, 2) })
	}
}
