package rpc

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/laburnumcleat/laburnumcleat/pkg/apierror"
)

// authority is a certificate authority for the nodes of one fleet.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	pool        *x509.CertPool
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	a := &authority{pool: x509.NewCertPool()}
	template := &x509.Certificate{IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign}
	der, key := issue(t, template, nil)
	certificate, err := x509.ParseCertificate(der)
	require.NoError(t, err)
	a.certificate, a.key = certificate, key
	a.pool.AddCert(certificate)
	return a
}

func (a *authority) node(t *testing.T) tls.Certificate {
	t.Helper()
	der, key := issue(t, &x509.Certificate{
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, KeyUsage: x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}, a)
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}
}

func issue(t *testing.T, template *x509.Certificate, issuer *authority) ([]byte, *ecdsa.PrivateKey) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template.SerialNumber = big.NewInt(1)
	template.Subject = pkix.Name{CommonName: "node"}
	template.NotBefore, template.NotAfter = time.Now().Add(-time.Hour), time.Now().Add(time.Hour)
	parent, signer := template, key
	if issuer != nil {
		parent, signer = issuer.certificate, issuer.key
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
	require.NoError(t, err)
	return der, key
}

func (a *authority) server(t *testing.T) *tls.Config {
	return &tls.Config{Certificates: []tls.Certificate{a.node(t)}, ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: a.pool}
}

// Guards against nodes that accept a peer without a certificate of the fleet, in either direction, and against TLS bytes
// that are not counted.
func TestTLSWithClientCertificates(t *testing.T) {
	fleetCA, foreignCA := newAuthority(t), newAuthority(t)
	_, address := startServer(t, fleetCA.server(t))
	clientConfig := &tls.Config{RootCAs: fleetCA.pool, Certificates: []tls.Certificate{fleetCA.node(t)}}
	for name, c := range map[string]struct {
		config *tls.Config
		valid  bool
	}{
		"own fleet":          {clientConfig, true},
		"no certificate":     {&tls.Config{RootCAs: fleetCA.pool}, false},
		"foreign client":     {&tls.Config{RootCAs: fleetCA.pool, Certificates: []tls.Certificate{foreignCA.node(t)}}, false},
		"foreign server":     {&tls.Config{RootCAs: foreignCA.pool, Certificates: []tls.Certificate{fleetCA.node(t)}}, false},
		"plain TCP, no TLS":  {nil, false},
		"own fleet, resumed": {clientConfig, true},
	} {
		err := echo(testContext(t), startClient(t, c.config), address, "x")
		if c.valid {
			require.NoError(t, err, name)
			continue
		}
		require.Equal(t, apierror.Unavailable, apierror.KindOf(err), name)
	}

	// A server of its own: the other one may still receive the alert with which a client refused it.
	counting, address := startServer(t, fleetCA.server(t))
	client := startClient(t, clientConfig)
	require.NoError(t, echo(testContext(t), client, address, "x"))
	require.Equal(t, client.counters.Sent.Load(), counting.counters.Received.Load())
	first := client.counters.Sent.Load() + client.counters.Received.Load()
	require.NoError(t, echo(testContext(t), client, address, "x"))
	second := client.counters.Sent.Load() + client.counters.Received.Load() - first
	t.Logf("call with handshake: %d bytes, without: %d bytes", first, second)
	require.Less(t, second, first/4, "the connection is reused")
}
