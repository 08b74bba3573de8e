package sidecar

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/laburnumcleat/laburnumcleat/pkg/apierror"
	"github.com/laburnumcleat/laburnumcleat/pkg/routing"
)

const testKey = "key-a"

// limitedDocument is testDocument with a team that holds testKey.
func limitedDocument(version uint64, rate float64) *routing.Document {
	d := testDocument(version)
	d.Teams = []routing.Team{{Name: "team-a", Keys: []routing.KeyDigest{routing.DigestKey(testKey)}, RatePerS: rate, Burst: rate}}
	return d
}

// callAs sends a request of a team to a node.
func (m *mesh) callAs(n *testNode, key string) callerResponse {
	r, _ := m.request(m.t.Context(), n, http.MethodGet, "/safe/x", "")
	r.Header.Set(testHeaders.Key, key)
	a := send(r)
	require.NoError(m.t, a.err)
	return a
}

// flood sends requests to all nodes in turn for a while, and returns how many were answered, and the refusals.
func (m *mesh) flood(d time.Duration) (answered int, refusals []callerResponse) {
	for i, end := 0, time.Now().Add(d); time.Now().Before(end); i++ {
		switch a := m.callAs(m.nodes[i%len(m.nodes)], testKey); a.status {
		case http.StatusOK:
			answered++
		default:
			refusals = append(refusals, a)
		}
	}
	return answered, refusals
}

// Guards against limits that each node enforces alone: requests at all nodes count together. A refusal says when to return.
func TestTeamLimit_HoldsOverAllNodes(t *testing.T) {
	const rate = 40
	m := newMesh(t, 3)
	m.platform.publish(limitedDocument(2, rate))
	m.eventually("the limit is in force", func() bool { return m.hasVersion(2) })
	time.Sleep(time.Second) // the nodes have exchanged counts
	window := defaultLimitBound.Window
	answered, refusals := m.flood(window)
	owed := rate*window.Seconds() + rate
	assert.LessOrEqual(t, float64(answered), owed*(1+defaultLimitBound.Overage)+defaultLimitBound.Slack)
	assert.Greater(t, float64(answered), 0.6*rate*window.Seconds())
	require.NotEmpty(t, refusals)
	for _, r := range refusals {
		require.Equal(t, http.StatusTooManyRequests, r.status)
		assert.Contains(t, r.body, string(reasonTeamLimit))
		after, err := strconv.ParseFloat(r.header.Get("Retry-After"), 64)
		require.NoError(t, err)
		assert.Positive(t, after)
	}
	assert.Contains(t, m.log.String(), "event=team_limit_reached")
}

// Guards against limits that a cut voids: each side keeps to its part.
func TestTeamLimit_HoldsWhileNodesDoNotReachEachOther(t *testing.T) {
	const rate = 40
	var cut atomic.Bool
	m := &mesh{t: t, platform: newFakePlatform(), adjust: func(n *Node) {
		n.rpcServer.Handle(limitMethod, func(ctx context.Context, params json.RawMessage) (any, error) {
			if cut.Load() {
				return nil, apierror.New(apierror.Unavailable, "cut off", "")
			}
			return n.limits.serve(ctx, params)
		})
	}}
	m.startNodes(3)
	m.platform.publish(limitedDocument(2, rate))
	m.eventually("the limit is in force", func() bool { return m.hasVersion(2) })
	time.Sleep(time.Second)
	cut.Store(true)
	_, _ = m.flood(3 * time.Second)
	answered, _ := m.flood(defaultLimitBound.Window)
	owed := rate*defaultLimitBound.Window.Seconds() + rate
	assert.LessOrEqual(t, float64(answered), owed*(1+defaultLimitBound.Overage)+defaultLimitBound.Slack)
}

// Guards against a limit that is used up by requests that no backend server has run.
func TestTeamLimit_DoesNotCountWhatDidNotRun(t *testing.T) {
	m := newMesh(t, 1)
	m.nodes[0].announce(true) // the backend server leaves
	m.platform.publish(limitedDocument(2, 2))
	m.eventually("the limit is in force", func() bool { return m.hasVersion(2) })
	for range 60 {
		assert.Equal(t, http.StatusServiceUnavailable, m.callAs(m.nodes[0], testKey).status)
	}
}

func (m *mesh) hasVersion(version uint64) bool {
	for _, n := range m.nodes {
		if n.follower.version() != version {
			return false
		}
	}
	return true
}

// Guards against settings that a program has written, with a zero for each field that is not set, and that are refused for a missing window of limits.
func TestSettings_LimitWindowIsOptional(t *testing.T) {
	duration := Duration(time.Second)
	address := "127.0.0.1:7000"
	data, err := json.Marshal(&Settings{
		ID: "a", Region: "r", DataCentre: "d", Listen: Listen{address, address, address, address, address, address},
		Backend: Backend{"s", address, duration}, Store: Store{address},
		Bounds: Bounds{GracePeriod: duration, Drain: duration, ConfigApply: duration, RetryWindow: duration, ReadinessInterval: duration},
	})
	require.NoError(t, err)
	_, err = ParseSettings(data)
	assert.NoError(t, err)
}
