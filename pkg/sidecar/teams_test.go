package sidecar

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/url"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/laburnumcleat/laburnumcleat/pkg/metrics"
	"github.com/laburnumcleat/laburnumcleat/pkg/routing"
	"github.com/laburnumcleat/laburnumcleat/pkg/rpc"
)

// teamDocument returns a configuration in which the keys belong to the team "first" and the route "unsafe" is public.
func teamDocument(version uint64, keys ...string) *routing.Document {
	d := testDocument(version)
	priority := 3
	first := routing.Team{Name: "first", Priority: &priority}
	for _, key := range keys {
		first.Keys = append(first.Keys, routing.DigestKey(key))
	}
	d.Teams = []routing.Team{first, {Name: "second", Keys: []routing.KeyDigest{routing.DigestKey("second-key")}}}
	d.Routes[1].Public = true
	return d
}

// callWithKey sends a request with a key, or without one if it is empty.
func (m *mesh) callWithKey(n *testNode, path, key string) callerResponse {
	m.t.Helper()
	r, _ := m.request(context.Background(), n, "GET", path, "")
	r.Header.Set(testHeaders.Team, "forged")
	r.Header.Set("Connection", testHeaders.Team) // must not remove the header that the node sets
	if key != "" {
		r.Header.Set(testHeaders.Key, key)
	}
	a := send(r)
	require.NoError(m.t, a.err)
	return a
}

func (m *mesh) publishAndAwait(d *routing.Document) {
	m.t.Helper()
	m.platform.publish(d)
	m.eventually("all nodes have the configuration", func() bool {
		for _, n := range m.nodes {
			if n.follower.version() < d.Version {
				return false
			}
		}
		return true
	})
}

// Guards against requests that run without a valid key, and against a backend server that sees a key or a team that the client named.
func TestTeams_KeyDecides(t *testing.T) {
	m, first, second := newForwardingMesh(t)
	m.publishAndAwait(teamDocument(2, "secret-key"))
	second.backend.mu.Lock()
	second.backend.requestIDs = nil
	second.backend.mu.Unlock()
	for _, n := range m.nodes {
		for _, c := range []struct {
			path, key string
			status    int
			team      string
		}{
			{"/safe/x", "secret-key", http.StatusOK, "first"},
			{"/safe/x", "second-key", http.StatusOK, "second"},
			{"/safe/x", "", http.StatusUnauthorized, ""},
			{"/safe/x", "secret-other", http.StatusUnauthorized, ""},
			{"/safe/x", string(routing.DigestKey("secret-key")), http.StatusUnauthorized, ""},
			{"/unsafe/x", "", http.StatusOK, ""},
			{"/unsafe/x", "secret-other", http.StatusOK, ""},
			{"/unsafe/x", "secret-key", http.StatusOK, "first"},
		} {
			before := len(second.backend.requests())
			a := m.callWithKey(n, c.path, c.key)
			require.Equal(t, c.status, a.status, c)
			if c.status == http.StatusUnauthorized {
				assert.Len(t, second.backend.requests(), before, c)
				assert.Equal(t, "Test", a.header.Get("WWW-Authenticate"))
				assert.Contains(t, a.body, `"outcome":"not-run","reason":"key_`)
				continue
			}
			second.backend.mu.Lock()
			seen := second.backend.headers
			second.backend.mu.Unlock()
			assert.Equal(t, c.team, seen.Get(testHeaders.Team), c)
			assert.Empty(t, seen.Values(testHeaders.Key), c)
		}
	}
	values := first.metrics.Values()
	assert.EqualValues(t, 1, values[metrics.Name("outbound", "verdict", "not-run", "reason", string(reasonKeyMissing))])
	assert.EqualValues(t, 2, values[metrics.Name("outbound", "verdict", "not-run", "reason", string(reasonKeyUnknown))])
	assert.EqualValues(t, 2, values[metrics.Name("team_requests", "team", "first", "verdict", "answered")])
	assert.NotContains(t, m.log.String(), "secret-", "keys in the log")
	for name := range values {
		assert.NotContains(t, name, "secret-")
	}
}

// Deployments without teams are served as before: keys, if any, concern the backend server only.
func TestTeams_NoneConfigured(t *testing.T) {
	m := newMesh(t, 1)
	assert.Equal(t, http.StatusOK, m.callWithKey(m.nodes[0], "/safe/x", "own-scheme").status)
	seen := m.nodes[0].backend.headers
	assert.Equal(t, "own-scheme", seen.Get(testHeaders.Key))
	assert.Empty(t, seen.Get(testHeaders.Team))
}

// Guards against a final refusal of a key that was just added: clients do not retry after 401. A node that has heard of a later version, and
// does not have it yet, cannot say that a key is wrong.
func TestIdentify_NodeBehindPromisesNothingFinal(t *testing.T) {
	f := newTestFollower()
	f.activate(teamDocument(2, "a"), nil, "store")
	o := &outbound{headers: testHeaders, key: (&forNode{}).Key, isBehind: f.isBehind}
	status := func(path string, header http.Header) int {
		q := &request{Request: &http.Request{Header: header}, route: f.Table().Match("h.example", path)}
		if res := o.identify(q, f.Table()); res != nil {
			return httpStatus(res)
		}
		return http.StatusOK
	}
	unknown, none, valid := http.Header{testHeaders.Key: {"b"}}, http.Header{}, http.Header{testHeaders.Key: {"a"}}
	assert.Equal(t, http.StatusUnauthorized, status("/safe/x", unknown))
	f.hear(1)
	assert.Equal(t, http.StatusUnauthorized, status("/safe/x", unknown))
	f.hear(3)
	assert.Equal(t, http.StatusServiceUnavailable, status("/safe/x", unknown))
	assert.Equal(t, http.StatusServiceUnavailable, status("/safe/x", none))
	assert.Equal(t, http.StatusOK, status("/safe/x", valid))
	assert.Equal(t, http.StatusOK, status("/unsafe/x", none), "the route is public")
	o.table = f.Table
	q := &request{Request: &http.Request{Header: none, Host: "h.example", URL: &url.URL{Path: "/later/x"}}}
	assert.Equal(t, http.StatusServiceUnavailable, httpStatus(o.serve(nil, q)), "nor that a route does not exist")
	f.activate(teamDocument(3, "a"), nil, "relay")
	assert.Equal(t, http.StatusUnauthorized, status("/safe/x", unknown))
	assert.Equal(t, http.StatusNotFound, httpStatus(o.serve(nil, q)))
	f.hear(4)
	f.heardLaterAt.Add(-int64(behindMemory))
	assert.Equal(t, http.StatusUnauthorized, status("/safe/x", unknown), "no node repeats it")
}

// The rank of a team takes precedence over that of the route, also if it is less urgent.
func TestIdentify_RankOfTheTeam(t *testing.T) {
	table, err := routing.Compile(teamDocument(1, "k"))
	require.NoError(t, err)
	o := &outbound{headers: testHeaders, key: (&forNode{}).Key}
	for key, rank := range map[string]int{"k": 3, "second-key": 1} {
		q := &request{Request: &http.Request{Header: http.Header{testHeaders.Key: {key}}}, route: table.Match("h.example", "/safe/x"), rank: 1}
		require.Nil(t, o.identify(q, table))
		assert.Equal(t, rank, q.rank)
	}
}

// Guards against a withdrawn key that comes back by a restart from a stale copy, or by a late change.
func TestTeams_WithdrawnKeyStaysWithdrawn(t *testing.T) {
	m := newMesh(t, 3)
	m.publishAndAwait(teamDocument(2, "a", "b"))
	stale, err := encodeCompressed(teamDocument(2, "a", "b"))
	require.NoError(t, err)
	late := routing.Diff(testDocument(1), teamDocument(2, "a", "b"))
	m.platform.refuse(true, m.nodes[0]) // is told by another node
	m.publishAndAwait(teamDocument(3))  // the team has lost all keys
	m.platform.mu.Lock()
	m.platform.copied = stale
	m.platform.mu.Unlock()
	restarted := m.restart(m.nodes[2])
	m.nodes[2] = restarted
	restarted.announce(false)
	m.eventually("the restarted node has the newest version", func() bool { return restarted.follower.version() == 3 })
	for _, n := range m.nodes {
		(&relay{follower: n.follower, metrics: n.metrics, logger: n.logger}).apply(late, "")
		for _, key := range []string{"a", "b"} {
			assert.Equal(t, http.StatusUnauthorized, m.callWithKey(n, "/safe/x", key).status)
		}
	}
	public := teamDocument(4)
	public.Routes[0].Public = true
	m.publishAndAwait(public)
	for _, n := range m.nodes {
		assert.Equal(t, http.StatusOK, m.callWithKey(n, "/safe/x", "").status)
	}
}

// withoutTeams returns a configuration as a build without teams passes it on.
func withoutTeams(d *routing.Document) *routing.Document {
	before := *d
	before.Format, before.Teams = 0, nil
	before.Routes = append([]routing.Route(nil), d.Routes...)
	for i := range before.Routes {
		before.Routes[i].Public = false
	}
	return &before
}

func newTestFollower() *follower {
	return newFollower(nil, nil, rpc.NewServer(nil), metrics.New(), zap.NewNop())
}

// Guards against a node that runs requests without a key since a build without teams has told it of a version, or has written the copy.
func TestFollower_BuildsWithoutTeamsTakeNoTeamsAway(t *testing.T) {
	f := newTestFollower()
	f.activate(teamDocument(2, "a"), nil, "store")
	assert.Nil(t, f.activate(withoutTeams(teamDocument(3, "a")), nil, "node"))
	assert.EqualValues(t, 2, f.version())
	assert.EqualValues(t, 3, f.unstated.Load(), "the store is to be read")
	assert.NotNil(t, f.activate(teamDocument(3, "b"), nil, "store"))
	assert.NotNil(t, f.Table().Team("b"))

	f = newTestFollower()
	assert.Nil(t, f.activate(withoutTeams(teamDocument(2, "a")), nil, "node"), "also if no teams are known yet")
	assert.Nil(t, f.Table())
	assert.NotNil(t, f.activate(teamDocument(2, "a"), nil, "store"))
}

// A change that a build without teams merged does not fit; the store is read by a node that is no reader otherwise.
func TestTeams_StoreIsReadForTeamsThatARelayLeftOut(t *testing.T) {
	var reader atomic.Bool
	reader.Store(true)
	m := &mesh{t: t, platform: newFakePlatform(), adjust: func(n *Node) { n.follower.isReader = reader.Load }}
	m.startNodes(1)
	n := m.nodes[0]
	m.publishAndAwait(teamDocument(2, "a"))
	m.platform.refuse(true, n)
	change := *routing.Diff(teamDocument(2, "a"), teamDocument(3, "b"))
	change.Format, change.TeamsDigest, change.Teams = 0, 0, nil
	r := &relay{follower: n.follower, metrics: n.metrics, logger: n.logger}
	r.apply(&change, "")
	assert.EqualValues(t, 2, n.follower.version())
	m.platform.publish(teamDocument(3, "b"))
	reader.Store(false)
	m.platform.refuse(false, n)
	m.eventually("the store was read", func() bool { return n.follower.version() == 3 })
	assert.Equal(t, http.StatusUnauthorized, m.callWithKey(n, "/safe/x", "a").status)
	assert.Equal(t, http.StatusOK, m.callWithKey(n, "/safe/x", "b").status)
}

// copySource is a store that holds a copy only.
type copySource struct {
	Source
	document []byte
}

func (s copySource) Copy(context.Context) (Copy, error) { return Copy{Document: s.document}, nil }

func TestFollower_CopyWithoutTeamsIsNotUsed(t *testing.T) {
	for _, c := range []struct {
		document *routing.Document
		used     bool
	}{{teamDocument(2, "a"), true}, {withoutTeams(teamDocument(2, "a")), false}} {
		data, err := encodeCompressed(c.document)
		require.NoError(t, err)
		f := newTestFollower()
		f.source = copySource{document: data}
		assert.Equal(t, c.used, f.readCopy(context.Background()))
		assert.Equal(t, c.used, f.Table() != nil)
	}
}

// A node that knows no configuration cannot say that a key is wrong.
func TestServe_NoConfigurationIsNot401(t *testing.T) {
	o := &outbound{headers: testHeaders, table: func() *routing.Table { return nil }, starting: newStarting()}
	ctx, cancel := context.WithCancelCause(context.Background())
	cancel(errors.New("does not wait"))
	r := (&http.Request{Header: http.Header{testHeaders.Key: {"any"}}}).WithContext(ctx)
	res := o.serve(nil, &request{Request: r, received: time.Now()})
	assert.Equal(t, http.StatusServiceUnavailable, httpStatus(res))
	assert.Equal(t, reasonNotReady, res.reason)
}

// Pattern: many teams. Guards against metrics whose number grows with the teams, and counts that get lost.
func TestTeamStats_BoundedLabels(t *testing.T) {
	var stats teamStats
	const teams = maxTrackedTeams + 100
	for i := range teams {
		stats.observe(fmt.Sprint("team-", i), verdictAnswered)
	}
	for range 5 {
		stats.observe("team-77", verdictNotRun)
	}
	total, labels := int64(0), map[string]int64{}
	stats.collect(func(value int64, base string, names ...string) {
		data, err := json.Marshal(names)
		require.NoError(t, err)
		labels[string(data)] = value
		total += value
	})
	assert.EqualValues(t, teams+5, total)
	assert.LessOrEqual(t, len(labels), 3*(maxTeamLabels+1))
	assert.EqualValues(t, 5, labels[`["team","team-77","verdict","not-run"]`], "a large team is named")
}

func BenchmarkIdentify(b *testing.B) {
	d := teamDocument(1, "m82thhkmgjqnirth5mgj")
	for i := range 80 {
		d.Teams = append(d.Teams, routing.Team{Name: fmt.Sprint("team-", i), Keys: []routing.KeyDigest{routing.DigestKey(fmt.Sprint("y5rcpihhacruddedev", i))}})
	}
	table, err := routing.Compile(d)
	require.NoError(b, err)
	o := &outbound{headers: testHeaders, key: (&forNode{}).Key}
	q := &request{Request: &http.Request{Header: http.Header{testHeaders.Key: {"m82thhkmgjqnirth5mgj"}}}, route: table.Match("h.example", "/safe/x")}
	forwarded := http.Header{}
	b.ReportAllocs()
	for b.Loop() {
		if o.identify(q, table) != nil {
			b.Fatal("refused")
		}
		o.setTeamHeader(q, forwarded)
		o.teamStats.observe(q.team.Name, verdictAnswered)
	}
}

// Teams request the same resources. Guards against a first attempt that counts as the retry of another team's caller, and so has less time.
func TestCallerRetry_OfTheSameTeamOnly(t *testing.T) {
	o := &outbound{headers: testHeaders, metrics: metrics.New()}
	receive := func(team *routing.Team) *request {
		q := &request{Request: httptest.NewRequest("GET", "/safe/1", nil), received: time.Now(), team: team}
		q.route = &routing.Entry{Route: &routing.Route{Name: "safe", TimeoutMS: 5000, TargetMS: 300}}
		require.True(t, o.setDeadlines(q))
		return q
	}
	first, second := &routing.Team{Name: "first"}, &routing.Team{Name: "second"}
	o.recordRefusal(receive(first), 50*time.Millisecond)
	assert.False(t, receive(second).callerRetry)
	assert.False(t, receive(nil).callerRetry)
	assert.True(t, receive(first).callerRetry)
}
