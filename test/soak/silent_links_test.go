package soak

import (
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/laburnumcleat/laburnumcleat/pkg/routing"
	"github.com/laburnumcleat/laburnumcleat/pkg/sidecar"
)

const (
	linkSilences       = 5 // per seed
	silentLinksSize    = 12
	calmBeforeSilent   = 5 * time.Second // and up to maxSilentLinkDelay more
	maxSilentLinkDelay = 2 * time.Second
	maxPublishDelay    = 1500 * time.Millisecond // of a version after the silence; later ones have more time than settleTime
)

// silentProxy forwards connections to an address. They can go silent without a reset, while new ones work.
type silentProxy struct {
	listener net.Listener

	mu    sync.Mutex
	pairs []*proxiedPair
}

// proxiedPair is a connection from a node and the one to the address that it is forwarded on.
type proxiedPair struct {
	from, to net.Conn

	mu     sync.Mutex
	silent bool
}

func newSilentProxy(t *testing.T, address string) *silentProxy {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	p := &silentProxy{listener: listener}
	t.Cleanup(p.close)
	go func() {
		for {
			from, err := listener.Accept()
			if err != nil {
				return
			}
			go p.forward(from, address)
		}
	}()
	return p
}

func (p *silentProxy) address() string { return p.listener.Addr().String() }

func (p *silentProxy) forward(from net.Conn, address string) {
	to, err := net.Dial("tcp", address)
	if err != nil {
		from.Close()
		return
	}
	pair := &proxiedPair{from: from, to: to}
	p.mu.Lock()
	p.pairs = append(p.pairs, pair)
	p.mu.Unlock()
	go pair.copy(to, from)
	pair.copy(from, to)
}

// copy copies until one side ends, and then closes both, or until the pair goes silent.
func (c *proxiedPair) copy(to, from net.Conn) {
	// An error ends the connection, or comes from silence.
	_, _ = io.Copy(to, from)
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.silent {
		c.close()
	}
}

func (c *proxiedPair) close() {
	c.from.Close()
	c.to.Close()
}

// silence makes the present connections silent for good.
func (p *silentProxy) silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.pairs {
		c.mu.Lock()
		c.silent = true
		// Interrupts the copying; an error means that the connection has ended.
		_ = c.from.SetReadDeadline(time.Unix(1, 0))
		_ = c.to.SetReadDeadline(time.Unix(1, 0))
		c.mu.Unlock()
	}
}

func (p *silentProxy) close() {
	p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.pairs {
		c.close()
	}
}

// Guards against configurations that come into force late after all open connections have gone silent, those to the store and those between nodes:
// each is noticed by a call that times out, and changes are relayed on connections that nothing has noticed yet.
func TestSilentConnections(t *testing.T) {
	forEachSeed(t, runSilentConnections, silentLinksSize)
}

// runSilentConnections silences all connections several times and returns the violations. All nodes are in one data centre, where a change is relayed
// by the fewest readers.
func runSilentConnections(t *testing.T, program string, seed uint64, size int) []violation {
	random := rand.New(rand.NewPCG(seed, 6))
	var proxies []*silentProxy
	overrides := make(map[string]string)
	cl := newAdjustedCluster(t, program, size, func(s *sidecar.Settings) {
		for _, address := range []string{s.Listen.Control, s.Listen.Nodes} {
			p := newSilentProxy(t, address)
			proxies = append(proxies, p)
			overrides[address] = p.address()
		}
		s.DataCentre, s.DialOverrides = dataCentres[0], overrides
	})
	for range linkSilences {
		time.Sleep(calmBeforeSilent + time.Duration(random.Int64N(int64(maxSilentLinkDelay))))
		for _, n := range cl.nodes {
			n.storeServer.SilenceConnections()
		}
		for _, p := range proxies {
			p.silence()
		}
		settled := time.Now().Add(settleTime)
		time.Sleep(time.Duration(random.Int64N(int64(maxPublishDelay))))
		cl.publish(func(*routing.Document) {})
		cl.checkNewestVersion(max(time.Until(settled), configApply))
	}
	return cl.finish(t, seed)
}
