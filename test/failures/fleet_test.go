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

// view returns the members that a node knows, by id. It is empty if the node does not answer.
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

// allSee reports whether the condition holds for each of the members in the view of each observer.
func (c *cluster) allSee(observers, members []*fleet.Node, condition func(operator.Member) bool) bool {
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

func (c *cluster) without(n *fleet.Node) []*fleet.Node {
	return c.nodesWhere(func(other *fleet.Node) bool { return other != n })
}

// answeredBy calls the canary route through a node and returns the node whose backend server answered, or nothing.
func (c *cluster) answeredBy(through *fleet.Node) string {
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

// Guards against endpoints of a killed node that stay in use anywhere, and against a restart that others take for the
// earlier process.
func TestKilledNodeIsWithdrawnAndItsRestartSeen(t *testing.T) {
	c := startConfigured(t)
	killed := c.node("nizwa-records-2")
	others := c.without(killed)
	before := c.view(others[0])[killed.ID].Incarnation
	begin := time.Now()
	killed.Kill()
	c.eventually("all know the death", func() bool {
		return c.allSee(others, []*fleet.Node{killed}, withStatus("dead"))
	})
	t.Logf("death known to all after %s", time.Since(begin).Round(time.Millisecond))
	require.NoError(t, killed.Restart())
	c.eventually("all see the new process with its endpoint", func() bool {
		return c.allSee(others, []*fleet.Node{killed}, func(m operator.Member) bool {
			return m.Status == "alive" && m.Incarnation > before && m.Endpoint != nil && m.Endpoint.State == "ready"
		})
	})
}

// Guards against data centres that stop serving, declare the others dead or prefer far endpoints while they are cut off,
// and against views that differ after the cut.
func TestTwoDataCentresCutOff(t *testing.T) {
	c := startConfigured(t)
	c.watch(c.Nodes)
	c.isolate("nizwa")
	c.cutDataCentres("sohar", "seeb")
	c.drop(c.logs["sohar"])
	eachSuspectsTheOthers := func() bool {
		for _, dataCentre := range c.Options.Deployment.DataCentres {
			if !c.allSee(c.inDataCentre(dataCentre), c.outside(dataCentre), withStatus("suspect")) {
				return false
			}
		}
		return true
	}
	c.eventually("each side suspects the others", eachSuspectsTheOthers)
	// Several times the longest suspicion in a fleet of this size. A longer pause changes nothing.
	time.Sleep(6 * time.Second)
	c.eventually("nobody is taken for dead", eachSuspectsTheOthers)
	for _, n := range c.Nodes {
		row := 0
		c.eventually("near endpoints answer all calls through "+n.ID, func() bool {
			by := c.answeredBy(n)
			if row++; !strings.HasPrefix(by, n.DataCentre) {
				row = 0
			}
			return row >= 30
		})
	}
	for _, dataCentre := range []string{"nizwa", "sohar"} {
		c.rejoin(dataCentre)
	}
	require.NoError(t, c.WaitEndpoints(c.ctx, settleLimit))
	c.requireSameState()
}

// Guards against a frozen node that stays suspect or dead for others after it resumes, or that is not used any more.
func TestFrozenNodeRefutesItsSuspicion(t *testing.T) {
	c := startConfigured(t)
	frozen := c.node("sohar-records-3") // the only one of its service in its data centre
	neighbour := c.node("sohar-dispatch-3")
	others := c.without(frozen)
	before := c.view(others[0])[frozen.ID].Incarnation
	require.NoError(t, frozen.Freeze())
	c.eventually("all others suspect it or take it for dead", func() bool {
		return c.allSee(others, []*fleet.Node{frozen}, func(m operator.Member) bool { return m.Status != "" && m.Status != "alive" })
	})
	require.NoError(t, frozen.Resume())
	c.eventually("all others see the same process as alive", func() bool {
		return c.allSee(others, []*fleet.Node{frozen}, func(m operator.Member) bool {
			return m.Status == "alive" && m.Incarnation == before
		})
	})
	list, err := frozen.Client().Explain(c.ctx, frozen.ID)
	require.NoError(t, err)
	refuted := false
	for i := range list.Events {
		refuted = refuted || list.Events[i].Kind == explain.Refuted
	}
	require.True(t, refuted, "the node itself refuted its suspicion")
	c.eventually("its neighbour uses it", func() bool { return c.answeredBy(neighbour) == frozen.ID })
}

// Guards against members that stay missing, suspect or dead somewhere after links that flapped and lost connections.
func TestFlappingLinksLoseNoMembers(t *testing.T) {
	c := startConfigured(t)
	pairs := [][2]string{{"seeb", "nizwa"}, {"nizwa", "sohar"}, {"seeb", "sohar"}}
	for _, pair := range pairs {
		c.eachProxy(pair[0], pair[1], c.lose)
	}
	for range 2 {
		for _, dataCentre := range c.Options.Deployment.DataCentres {
			c.isolate(dataCentre)
			c.eventually("the cut is noticed", func() bool {
				return !c.allSee(c.outside(dataCentre), c.inDataCentre(dataCentre), withStatus("alive"))
			})
			c.rejoin(dataCentre) // ends the loss on its links too
		}
		for _, pair := range pairs {
			c.eachProxy(pair[0], pair[1], c.lose)
		}
	}
	for _, pair := range pairs {
		c.eachProxy(pair[0], pair[1], c.restore)
	}
	require.NoError(t, c.WaitEndpoints(c.ctx, settleLimit))
}

// lose resets a third of the new connections after a short time.
func (c *cluster) lose(proxy *toxiproxy.Proxy) {
	const toxic = `{"name":"lose","type":"reset_peer","stream":"downstream","toxicity":0.33,"attributes":{"timeout":200}}`
	_, err := proxy.Toxics.AddToxicJson(strings.NewReader(toxic))
	require.NoError(c.t, err)
}

const unusedAddress = "127.0.0.1:1" // nothing listens there

// setSeeds rewrites the settings of a node for its next start.
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

// leave stops nodes gracefully and waits until the others know it. Nobody probes a member that has left, so that it comes
// back only by joining.
func (c *cluster) leave(nodes ...*fleet.Node) {
	c.t.Helper()
	for _, n := range nodes {
		require.NoError(c.t, n.Stop())
	}
	others := c.nodesWhere(func(n *fleet.Node) bool { return !slices.Contains(nodes, n) })
	c.eventually("all others know who left", func() bool { return c.allSee(others, nodes, withStatus("left")) })
}

func (c *cluster) joined(n *fleet.Node) bool {
	return c.allSee(c.without(n), []*fleet.Node{n}, withStatus("alive")) && c.allSee([]*fleet.Node{n}, c.Nodes, withStatus("alive"))
}

// Guards against a join that needs both the seeds and the presence stream.
func TestJoinThroughPresenceOrSeedsAlone(t *testing.T) {
	c := startConfigured(t)
	n := c.node("nizwa-dispatch-2")
	c.leave(n)
	c.setSeeds(n, unusedAddress)
	require.NoError(t, n.Restart())
	c.eventually("it joins through the presence stream", func() bool { return c.joined(n) })
	c.leave(n)
	c.setSeeds(n, unusedAddress, c.ControlAddress(0))
	c.setLog(logservice.Down, 0)
	require.NoError(t, n.Restart())
	c.eventually("it joins through a seed", func() bool { return c.joined(n) })
	require.NoError(t, c.WaitReady(c.ctx, settleLimit))
}

// Guards against a node that finds nobody and does not say so, or does not join when a contact comes back.
func TestNodeWithoutContactsSaysSoAndJoinsLater(t *testing.T) {
	c := startConfigured(t)
	n, seed := c.node("nizwa-dispatch-2"), c.Nodes[0]
	for _, back := range []func(){
		func() { c.setLog(logservice.Up, 0) },
		func() { require.NoError(t, seed.Restart()) },
	} {
		c.leave(n, seed)
		c.setLog(logservice.Down, 0)
		c.setSeeds(n, c.ControlAddress(0))
		require.NoError(t, n.Restart())
		c.eventually("/readyz and the log say that it is alone", func() bool {
			return strings.Contains(c.readiness(n), "alone: no peer answers") && strings.Contains(c.processLog(n), "no_other_member_found")
		})
		back()
		others := c.nodesWhere(func(other *fleet.Node) bool { return other != n && other != seed })
		c.eventually("it joins", func() bool { return c.allSee(others, []*fleet.Node{n}, withStatus("alive")) })
		c.eventually("it is ready", func() bool { return strings.HasPrefix(c.readiness(n), "ready") })
		c.setLog(logservice.Up, 0)
		seed.Kill()
		require.NoError(t, seed.Restart())
		require.NoError(t, c.WaitEndpoints(c.ctx, settleLimit))
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

// processLog returns what the latest process of a node has logged.
func (c *cluster) processLog(n *fleet.Node) string {
	data, err := os.ReadFile(filepath.Join(c.Options.WorkDir, n.ID+".node.log"))
	require.NoError(c.t, err)
	text := string(data)
	return text[max(0, strings.LastIndex(text, "node_started")):]
}
