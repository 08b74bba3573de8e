package failures

import (
	"encoding/json"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	toxiproxy "github.com/Shopify/toxiproxy/v2"
	"github.com/stretchr/testify/require"

	"github.com/laburnumcleat/laburnumcleat/pkg/callctx"
	"github.com/laburnumcleat/laburnumcleat/pkg/explain"
	"github.com/laburnumcleat/laburnumcleat/pkg/operator"
	"github.com/laburnumcleat/laburnumcleat/standin/fleet"
	"github.com/laburnumcleat/laburnumcleat/standin/logservice"
)

// view returns the membership view of a node, by member id. It is empty if the node does not respond.
func (c *cluster) view(from *fleet.Node) map[string]operator.Member {
	members := make(map[string]operator.Member)
	list, err := from.Client().Members(c.ctx)
	if err != nil {
		return members
	}
	for _, m := range list.Members {
		members[m.ID] = m
	}
	return members
}

// holdsInAllViews reports whether the condition holds for every member in the membership view of every observer.
func (c *cluster) holdsInAllViews(observers, members []*fleet.Node, condition func(operator.Member) bool) bool {
	for _, observer := range observers {
		known := c.view(observer)
		for _, m := range members {
			if !condition(known[m.ID]) {
				return false
			}
		}
	}
	return true
}

func withStatus(status string) func(operator.Member) bool {
	return func(m operator.Member) bool { return m.Status == status }
}

func (c *cluster) nodesExcept(n *fleet.Node) []*fleet.Node {
	return c.nodesWhere(func(other *fleet.Node) bool { return other != n })
}

// respondingNode calls the canary route through a node and returns the id of the node whose backend server responded. It
// returns "" if the call failed.
func (c *cluster) respondingNode(through *fleet.Node) string {
	client := http.Client{Timeout: callTimeout}
	response, err := client.Get(through.CallURL + "/canary/1/")
	if err != nil {
		return ""
	}
	defer response.Body.Close()
	if response.Header.Get(callctx.HeaderOutcome) != string(callctx.Answered) {
		return ""
	}
	return response.Header.Get(callctx.HeaderNode)
}

// Guards against endpoints of a crashed node that stay in any membership view, and against a restarted node that others
// mistake for the earlier process.
func TestKilledNodeWithdrawnAndRestartDetected(t *testing.T) {
	c := startConfigured(t)
	killed := c.node("nizwa-records-2")
	others := c.nodesExcept(killed)
	before := c.view(others[0])[killed.ID].Incarnation
	begin := time.Now()
	killed.Kill()
	c.eventually("all others declare the node dead", func() bool {
		return c.holdsInAllViews(others, []*fleet.Node{killed}, withStatus("dead"))
	})
	t.Logf("node declared dead by all after %s", time.Since(begin).Round(time.Millisecond))
	require.NoError(t, killed.Restart())
	c.eventually("all others see the new incarnation with a ready endpoint", func() bool {
		return c.holdsInAllViews(others, []*fleet.Node{killed}, func(m operator.Member) bool {
			return m.Status == "alive" && m.Incarnation > before && m.Endpoint != nil && m.Endpoint.State == "ready"
		})
	})
}

// Guards against data centres that stop serving, declare the others dead or prefer remote endpoints during a partition,
// and against membership views or configuration that differ afterwards.
func TestAllDataCentresPartitioned(t *testing.T) {
	c := startConfigured(t)
	c.startProber(c.Nodes)
	c.isolate("nizwa")
	c.partitionDataCentres("sohar", "seeb")
	c.drop(c.logProxies["sohar"])
	eachSuspectsTheOthers := func() bool {
		for _, dataCentre := range c.Options.Deployment.DataCentres {
			if !c.holdsInAllViews(c.nodesIn(dataCentre), c.nodesOutside(dataCentre), withStatus("suspect")) {
				return false
			}
		}
		return true
	}
	c.eventually("each data centre suspects the others", eachSuspectsTheOthers)
	// Several times the longest suspicion timeout in a fleet of this size; a longer pause would check nothing more.
	time.Sleep(6 * time.Second)
	c.eventually("no member is declared dead", eachSuspectsTheOthers)
	for _, n := range c.Nodes {
		consecutive := 0
		c.eventually("local endpoints answer 30 consecutive calls through "+n.ID, func() bool {
			by := c.respondingNode(n)
			if consecutive++; !strings.HasPrefix(by, n.DataCentre) {
				consecutive = 0
			}
			return consecutive >= 30
		})
	}
	for _, dataCentre := range []string{"nizwa", "sohar"} {
		c.rejoin(dataCentre)
	}
	require.NoError(t, c.WaitEndpoints(c.ctx, settleTimeout))
	c.requireConverged()
}

// Guards against a node that stays suspect or dead in other views, or receives no calls, after it resumes from a freeze.
func TestResumedNodeRefutesSuspicion(t *testing.T) {
	c := startConfigured(t)
	frozen := c.node("sohar-records-3") // the only endpoint of its service in its data centre
	neighbour := c.node("sohar-dispatch-3")
	others := c.nodesExcept(frozen)
	before := c.view(others[0])[frozen.ID].Incarnation
	require.NoError(t, frozen.Freeze())
	c.eventually("all others see the node as suspect or dead", func() bool {
		return c.holdsInAllViews(others, []*fleet.Node{frozen}, func(m operator.Member) bool { return m.Status != "" && m.Status != "alive" })
	})
	require.NoError(t, frozen.Resume())
	c.eventually("all others see the same incarnation as alive", func() bool {
		return c.holdsInAllViews(others, []*fleet.Node{frozen}, func(m operator.Member) bool {
			return m.Status == "alive" && m.Incarnation == before
		})
	})
	list, err := frozen.Client().Explain(c.ctx, frozen.ID)
	require.NoError(t, err)
	refuted := false
	for i := range list.Events {
		refuted = refuted || list.Events[i].Kind == explain.Refuted
	}
	require.True(t, refuted, "the node logged that it refuted the suspicion")
	c.eventually("a node of the same data centre sends calls to it", func() bool { return c.respondingNode(neighbour) == frozen.ID })
}

// Guards against members that stay missing, suspect or dead in some view after links have flapped and lost connections.
func TestFlappingLinksLoseNoMembers(t *testing.T) {
	c := startConfigured(t)
	pairs := [][2]string{{"seeb", "nizwa"}, {"nizwa", "sohar"}, {"seeb", "sohar"}}
	for _, pair := range pairs {
		c.eachProxy(pair[0], pair[1], c.resetSomeConnections)
	}
	for range 2 {
		for _, dataCentre := range c.Options.Deployment.DataCentres {
			c.isolate(dataCentre)
			c.eventually("other data centres detect the isolation", func() bool {
				return !c.holdsInAllViews(c.nodesOutside(dataCentre), c.nodesIn(dataCentre), withStatus("alive"))
			})
			c.rejoin(dataCentre) // also removes the connection resets on its links
		}
		for _, pair := range pairs {
			c.eachProxy(pair[0], pair[1], c.resetSomeConnections)
		}
	}
	for _, pair := range pairs {
		c.eachProxy(pair[0], pair[1], c.restore)
	}
	require.NoError(t, c.WaitEndpoints(c.ctx, settleTimeout))
}

// resetSomeConnections resets a third of the new connections after 200 ms.
func (c *cluster) resetSomeConnections(proxy *toxiproxy.Proxy) {
	const toxic = `{"name":"lose","type":"reset_peer","stream":"downstream","toxicity":0.33,"attributes":{"timeout":200}}`
	_, err := proxy.Toxics.AddToxicJson(strings.NewReader(toxic))
	require.NoError(c.t, err)
}

const unusedAddress = "127.0.0.1:1" // nothing listens there

// setSeeds rewrites the seeds in the settings file of a node. They apply from its next start.
func (c *cluster) setSeeds(n *fleet.Node, seeds ...string) {
	c.t.Helper()
	file := filepath.Join(c.Options.WorkDir, n.ID+".json")
	data, err := os.ReadFile(file)
	require.NoError(c.t, err)
	var content map[string]any
	require.NoError(c.t, json.Unmarshal(data, &content))
	content["seeds"] = seeds
	data, err = json.Marshal(content)
	require.NoError(c.t, err)
	require.NoError(c.t, os.WriteFile(file, data, 0o644))
}

// stopAndAwaitLeft stops nodes gracefully and waits until all others see them as left. Members that have left are not
// probed, so such a node returns only by joining.
func (c *cluster) stopAndAwaitLeft(nodes ...*fleet.Node) {
	c.t.Helper()
	for _, n := range nodes {
		require.NoError(c.t, n.Stop())
	}
	others := c.nodesWhere(func(n *fleet.Node) bool { return !slices.Contains(nodes, n) })
	c.eventually("all others see the stopped nodes as left", func() bool { return c.holdsInAllViews(others, nodes, withStatus("left")) })
}

func (c *cluster) joined(n *fleet.Node) bool {
	return c.holdsInAllViews(c.nodesExcept(n), []*fleet.Node{n}, withStatus("alive")) && c.holdsInAllViews([]*fleet.Node{n}, c.Nodes, withStatus("alive"))
}

// Guards against a join that needs both the seeds and the presence stream.
func TestJoinWithPresenceOnlyOrSeedsOnly(t *testing.T) {
	c := startConfigured(t)
	n := c.node("nizwa-dispatch-2")
	c.stopAndAwaitLeft(n)
	c.setSeeds(n, unusedAddress)
	require.NoError(t, n.Restart())
	c.eventually("the node joins through the presence stream", func() bool { return c.joined(n) })
	c.stopAndAwaitLeft(n)
	c.setSeeds(n, unusedAddress, c.ControlAddress(0))
	c.setLogMode(logservice.Down, 0)
	require.NoError(t, n.Restart())
	c.eventually("the node joins through a seed", func() bool { return c.joined(n) })
	require.NoError(t, c.WaitReady(c.ctx, settleTimeout))
}

// Checks that a node that finds no peer reports this, and that it joins when a contact becomes available.
func TestNodeWithoutContactsReportsAndJoinsLater(t *testing.T) {
	c := startConfigured(t)
	n, seed := c.node("nizwa-dispatch-2"), c.Nodes[0]
	for _, restoreContact := range []func(){
		func() { c.setLogMode(logservice.Up, 0) },
		func() { require.NoError(t, seed.Restart()) },
	} {
		c.stopAndAwaitLeft(n, seed)
		c.setLogMode(logservice.Down, 0)
		c.setSeeds(n, c.ControlAddress(0))
		require.NoError(t, n.Restart())
		c.eventually("/readyz and the process log report that the node has no peers", func() bool {
			return strings.Contains(c.readiness(n), "alone: no peer answers") && strings.Contains(c.processLog(n), "no_other_member_found")
		})
		restoreContact()
		others := c.nodesWhere(func(other *fleet.Node) bool { return other != n && other != seed })
		c.eventually("the node joins", func() bool { return c.holdsInAllViews(others, []*fleet.Node{n}, withStatus("alive")) })
		c.eventually("the node is ready", func() bool { return strings.HasPrefix(c.readiness(n), "ready") })
		c.setLogMode(logservice.Up, 0)
		seed.Kill()
		require.NoError(t, seed.Restart())
		require.NoError(t, c.WaitEndpoints(c.ctx, settleTimeout))
	}
}

func (c *cluster) readiness(n *fleet.Node) string {
	client := http.Client{Timeout: callTimeout}
	response, err := client.Get(n.APIURL + "/readyz")
	if err != nil {
		return ""
	}
	defer response.Body.Close()
	text, _ := io.ReadAll(response.Body)
	return string(text)
}

// processLog returns the log of a node since its latest start.
func (c *cluster) processLog(n *fleet.Node) string {
	data, err := os.ReadFile(filepath.Join(c.Options.WorkDir, n.ID+".node.log"))
	require.NoError(c.t, err)
	text := string(data)
	return text[max(0, strings.LastIndex(text, "node_started")):]
}
