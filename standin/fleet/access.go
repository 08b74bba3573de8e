package fleet

import (
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"

	"github.com/laburnumcleat/laburnumcleat/pkg/operator"
	"github.com/laburnumcleat/laburnumcleat/pkg/settings"
)

// operatorTeams lists the teams of the examples and the tests.
var operatorTeams = []string{"customers", "drivers", "clients", "crews", "demo", "test"}

// access holds the certificates and tokens of a fleet. An insecure fleet uses plain connections and anonymous access.
type access struct {
	secure       bool
	directory    string
	authority    *Authority
	token        string // token of an operator with all roles
	backendToken string
	transport    http.RoundTripper // verifies the nodes' certificates
}

func newAccess(directory string, secure bool) (*access, error) {
	a := &access{secure: secure, directory: directory, transport: http.DefaultTransport}
	if !secure {
		return a, nil
	}
	var err error
	if a.authority, err = NewAuthority(a.file("ca.pem")); err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	pool.AddCert(a.authority.certificate)
	a.transport = &http.Transport{TLSClientConfig: &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: pool}}
	return a, a.writeTokens()
}

func (a *access) file(name string) string {
	return filepath.Join(a.directory, name)
}

func (a *access) scheme() string {
	if a.secure {
		return "https://"
	}
	return "http://"
}

// writeTokens creates one token with all operator roles and one for backend servers and writes them to files.
func (a *access) writeTokens() error {
	a.token, a.backendToken = newSecret(), newSecret()
	tokens := []operator.Token{
		{
			Name: "operator", Secret: a.token, Teams: operatorTeams,
			Roles: []operator.Role{operator.RoleRead, operator.RolePublishTemplates, operator.RolePublishParameters, operator.RoleAdmin},
		},
		{Name: "backend", Secret: a.backendToken, Roles: []operator.Role{operator.RoleBackend}},
	}
	encoded, err := json.Marshal(tokens)
	if err != nil {
		return eris.Wrap(err, "encoding tokens")
	}
	files := map[string][]byte{"tokens.json": encoded, "operator.token": []byte(a.token), "backend.token": []byte(a.backendToken)}
	for name, content := range files {
		if err := os.WriteFile(a.file(name), content, 0o600); err != nil {
			return eris.Wrap(err, "writing tokens")
		}
	}
	return nil
}

func newSecret() string {
	secret := make([]byte, 24)
	_, _ = rand.Read(secret) // crypto/rand.Read never returns an error
	return hex.EncodeToString(secret)
}

// configure issues the node's certificate and sets the access fields of its settings.
func (a *access) configure(s *settings.Settings, ip string) error {
	if !a.secure {
		s.Keys.AllowPlain, s.Operators.AllowAnonymous = true, true
		return nil
	}
	s.Keys.TLSCertFile, s.Keys.TLSKeyFile, s.Keys.TLSCAFile = a.file(s.ID+".pem"), a.file(s.ID+".key"), a.file("ca.pem")
	s.Operators.TokensFile = a.file("tokens.json")
	return a.authority.Issue(s.ID, ip, s.Keys.TLSCertFile, s.Keys.TLSKeyFile)
}

func (a *access) backendFlags() []string {
	if !a.secure {
		return nil
	}
	return []string{"--ca-file", a.file("ca.pem"), "--token-file", a.file("backend.token")}
}

// RotateKeys replaces the certificate authority and the certificates of a secure fleet and makes every node reload them.
// From then on the nodes trust both the old and the new authority.
func (f *Fleet) RotateKeys() error {
	old := f.access.authority
	replacement, err := NewAuthority(f.path("ca-new.pem"))
	if err != nil {
		return err
	}
	if err := f.trustOldAndNew(); err != nil {
		return err
	}
	f.access.authority = replacement
	for i, n := range f.Nodes {
		if err := replacement.Issue(n.ID, f.nodeIPs[i], f.path(n.ID+".pem"), f.path(n.ID+".key")); err != nil {
			f.access.authority = old
			return err
		}
	}
	return f.reloadAll()
}

// trustOldAndNew makes all nodes and the clients of the fleet trust both authorities.
func (f *Fleet) trustOldAndNew() error {
	var both []byte
	for _, name := range []string{"ca.pem", "ca-new.pem"} {
		content, err := os.ReadFile(f.path(name))
		if err != nil {
			return eris.Wrap(err, "reading a CA certificate")
		}
		both = append(both, content...)
	}
	if err := os.WriteFile(f.path("ca.pem"), both, 0o600); err != nil {
		return eris.Wrap(err, "writing the CA certificates")
	}
	f.access.trust(both)
	return f.reloadAll()
}

func (f *Fleet) reloadAll() error {
	for _, n := range f.Nodes {
		if err := n.Reload(); err != nil {
			return eris.Wrapf(err, "signalling node %s", n.ID)
		}
	}
	return nil
}

// trust replaces the CA certificates that verify the nodes' certificates.
func (a *access) trust(authorities []byte) {
	pool := x509.NewCertPool()
	pool.AppendCertsFromPEM(authorities)
	a.transport = &http.Transport{TLSClientConfig: &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: pool}}
}

// Transport returns a transport that verifies the nodes' certificates and presents no client certificate.
func (f *Fleet) Transport() http.RoundTripper { return f.access.transport }

// BackendToken returns the token of the backend servers, or "" if the fleet is insecure.
func (f *Fleet) BackendToken() string { return f.access.backendToken }

// ControlAddress returns the address of the i-th node's listener for control messages.
func (f *Fleet) ControlAddress(i int) string { return hostPort(f.nodeIPs[i], portControl) }

// NodesAddress returns the address of the i-th node's listener for calls from other nodes.
func (f *Fleet) NodesAddress(i int) string { return hostPort(f.nodeIPs[i], portNodes) }
