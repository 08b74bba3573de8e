package sidecar

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/laburnumcleat/laburnumcleat/pkg/apierror"
	"github.com/laburnumcleat/laburnumcleat/pkg/membership"
	"github.com/laburnumcleat/laburnumcleat/pkg/quarantine"
)

// crash ends the process of the backend server: all its connections break, and it accepts no new ones.
func (b *backendServer) crash() { b.current().Close() }

func (b *backendServer) current() *http.Server {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.server
}

// restart starts a new process of the backend server at the same address, under another ID.
func (b *backendServer) restart(t testing.TB) {
	listener, err := net.Listen("tcp", b.address)
	require.NoError(t, err)
	server := &http.Server{Handler: b}
	b.mu.Lock()
	b.starts++
	b.id, b.server = b.id+"-"+strconv.Itoa(b.starts), server
	b.mu.Unlock()
	go server.Serve(listener)
	t.Cleanup(func() { server.Close() })
}

const deadlyPath = "/safe/deadly"

// crashesOnDeadlyRequests makes the backend servers of all nodes crash when they run a request for deadlyPath. Other requests take the given time.
// It returns the count of crashes.
func (m *mesh) crashesOnDeadlyRequests(work time.Duration) *atomic.Int64 {
	crashes := &atomic.Int64{}
	for _, n := range m.nodes {
		b := n.backend
		b.setHandler(func(w http.ResponseWriter, r *http.Request, _ string) {
			if strings.HasPrefix(r.URL.Path, deadlyPath) {
				crashes.Add(1)
				b.crash()
				return
			}
			time.Sleep(work)
		})
	}
	return crashes
}

// reviveBackends starts the backend servers that crashed, and announces them.
func (m *mesh) reviveBackends() {
	for _, n := range m.nodes {
		if !refusesConnections(n.backend.address) {
			continue
		}
		n.backend.restart(m.t)
		n.backendStart, n.announcements = time.Now().UnixMilli(), 0
		n.announce(false)
	}
	m.waitReady()
}

// Guards against one request that crashes backend server after backend server, whichever node its attempts arrive at.
func TestDeadlyRequest_BlockedAfterTheSecondCrash(t *testing.T) {
	m := newMesh(t, 4)
	crashes := m.crashesOnDeadlyRequests(0)
	for range 3 {
		for _, n := range m.nodes {
			a, _ := m.call(n, "GET", deadlyPath, "")
			assert.GreaterOrEqual(t, a.status, http.StatusInternalServerError)
		}
		m.reviveBackends()
	}
	assert.EqualValues(t, 2, crashes.Load())
	a, _ := m.call(m.nodes[0], "GET", deadlyPath, "")
	assert.Equal(t, http.StatusServiceUnavailable, a.status)
	assert.Contains(t, a.body, reasonRequestBlocked)
	after, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
	require.NoError(t, err)
	assert.Greater(t, after, 60.0)
	a, _ = m.call(m.nodes[0], "GET", "/safe/other", "")
	assert.Equal(t, http.StatusOK, a.status)
	a, _ = m.call(m.nodes[0], "GET", deadlyPath+"?other", "")
	assert.Equal(t, http.StatusBadGateway, a.status, "it is another request, and runs")
	assert.EqualValues(t, 4, crashes.Load())
}

// Guards against copies of a suspect that run on several backend servers at once and crash all of them.
func TestDeadlyRequest_ConcurrentAttempts(t *testing.T) {
	m := newMesh(t, 6)
	crashes := m.crashesOnDeadlyRequests(0)
	m.call(m.nodes[0], "GET", "/safe/warm-up", "")
	m.nodes[0].inbound.suspects.Crashed(time.Now(), "earlier", []quarantine.Run{{Request: m.deadlyFingerprint()}})
	m.nodes[0].quarantine.share([]quarantine.Record{{Request: m.deadlyFingerprint(), Crashed: []string{"earlier"}}})
	var attempts sync.WaitGroup
	for _, n := range m.nodes {
		for range 5 {
			attempts.Go(func() {
				r, _ := m.request(context.Background(), n, "GET", deadlyPath, "")
				send(r)
			})
		}
	}
	attempts.Wait()
	if !assert.EqualValues(t, 1, crashes.Load()) {
		t.Log(m.log.String())
	}
}

// deadlyFingerprint returns the fingerprint of a request for deadlyPath.
func (m *mesh) deadlyFingerprint() quarantine.Fingerprint {
	return quarantine.Request{Method: "GET", Host: "h.example", Target: deadlyPath, Caller: "s"}.Fingerprint()
}

// Guards against requests that are not served, or blocked, because they ran beside one that crashed their backend server.
func TestDeadlyRequest_OthersAreServed(t *testing.T) {
	const others = 6
	m := newMesh(t, 4)
	crashes := m.crashesOnDeadlyRequests(200 * time.Millisecond)
	statuses := make(chan int, others*len(m.nodes))
	var calls sync.WaitGroup
	for _, n := range m.nodes {
		for i := range others / 2 {
			calls.Go(func() {
				r, _ := m.request(context.Background(), n, "GET", "/safe/"+n.settings.ID+strconv.Itoa(i), "")
				statuses <- send(r).status
			})
		}
	}
	time.Sleep(100 * time.Millisecond) // they are running
	m.call(m.nodes[0], "GET", deadlyPath, "")
	calls.Wait()
	close(statuses)
	served := 0
	for status := range statuses {
		if status == http.StatusOK {
			served++
		}
	}
	assert.EqualValues(t, 2, crashes.Load())
	assert.GreaterOrEqual(t, served, len(m.nodes)*others/2-2)
	_, blocked := m.nodes[0].inbound.suspects.Counts(time.Now())
	assert.Equal(t, 1, blocked)
}

// Guards against a request that is blocked because it runs on all backend servers all the time, and so on each one that crashes.
func TestFrequentRequest_NotBlockedByCrashes(t *testing.T) {
	m := newMesh(t, 3)
	m.crashesOnDeadlyRequests(20 * time.Millisecond)
	stop := m.keepCalling("/safe/popular", 3, m.nodes...)
	for i := range 3 {
		time.Sleep(200 * time.Millisecond)
		m.nodes[i].backend.crash()
		time.Sleep(200 * time.Millisecond)
		m.reviveBackends()
	}
	stop()
	assert.Positive(t, m.nodes[0].metrics.Counter("backend_crashed").Count())
	m.eventually("it is not blocked", func() bool { a, _ := m.call(m.nodes[0], "GET", "/safe/popular", ""); return a.status == http.StatusOK })
}

// A backend server that loses a response and goes on is not taken for one that crashed.
func TestLostConnection_IsNoCrash(t *testing.T) {
	m := newMesh(t, 1)
	n := m.nodes[0]
	n.backend.setHandler(func(w http.ResponseWriter, _ *http.Request, _ string) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err == nil {
			conn.Close()
		}
	})
	for range 3 {
		m.call(n, "GET", "/safe/", "")
	}
	assert.Zero(t, n.metrics.Counter("backend_crashed").Count())
	assert.True(t, n.inbound.suspects.IsEmpty())
}

// isBlockedAt reports whether a node blocks requests for deadlyPath.
func (m *mesh) isBlockedAt(n *testNode) bool {
	verdict, _ := n.inbound.suspects.Verdict(time.Now(), m.deadlyFingerprint())
	return verdict == quarantine.Blocked
}

// block makes one node block requests for deadlyPath without telling the others.
func (m *mesh) block(n *testNode) {
	for _, process := range []string{"p1", "p2"} {
		n.inbound.suspects.Crashed(time.Now(), process, []quarantine.Run{{Request: m.deadlyFingerprint(), AsSuspect: true}})
	}
	require.True(m.t, m.isBlockedAt(n))
}

// Guards against a restarted node, or one that was not reachable when the others were told, that sends blocked requests to backend servers again.
func TestBlockedRequest_LearntLater(t *testing.T) {
	m := newMesh(t, 3)
	m.block(m.nodes[0])
	for _, n := range m.nodes[1:] {
		m.eventually("it is learnt from a heartbeat", func() bool { return m.isBlockedAt(n) })
	}
	m.nodes[0] = m.restart(m.nodes[0])
	m.eventually("it is learnt after a restart", func() bool { return m.isBlockedAt(m.nodes[0]) })
}

// Guards against nodes of an earlier build, which do not know the method, that keep others from being told.
func TestBlockedRequest_BesideEarlierBuilds(t *testing.T) {
	m := &mesh{t: t, platform: newFakePlatform(), dataCentre: "dc"}
	m.platform.publish(testDocument(1))
	for i := range 2 * relayFanout {
		m.adjust = nil
		if i == 1 {
			m.adjust = func(n *Node) {
				n.rpcServer.Handle(quarantineMethod, func(context.Context, json.RawMessage) (any, error) {
					return nil, apierror.New(apierror.NotFound, "unknown method", "run the same version on all nodes")
				})
			}
		}
		m.start(i)
	}
	m.waitReady()
	sender := m.nodes[0]
	const maxAttempts = 20 // a member may be suspected meanwhile, and is not told then
	for i := range maxAttempts {
		m.eventually("all members are alive", sender.countsAllAsAlive)
		path := deadlyPath + "?" + strconv.Itoa(i)
		for _, process := range []string{"p1", "p2"} {
			sender.inbound.suspects.Crashed(time.Now(), process, []quarantine.Run{{Request: fingerprintOfPath(path), AsSuspect: true}})
		}
		sender.quarantine.share(sender.inbound.suspects.Shared(time.Now()))
		if !sender.countsAllAsAlive() {
			continue
		}
		for _, n := range m.nodes[2:] {
			assert.Equal(t, quarantine.Blocked, n.verdictOn(path), n.settings.ID)
		}
		return
	}
	t.Fatal("the members were not alive at the same time")
}

// countsAllAsAlive reports whether the node counts all other nodes as alive.
func (n *testNode) countsAllAsAlive() bool {
	relay := n.quarantine.relay
	return !slices.ContainsFunc(relay.members(), func(m membership.Member) bool { return m.ID != relay.self && !relay.isLivePeer(&m) })
}
