// Package security loads the keys of a node and builds its TLS configurations. Keys can be reloaded while the node runs.
package security

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync/atomic"

	"github.com/laburnumcleat/laburnumcleat/pkg/apierror"
	"github.com/laburnumcleat/laburnumcleat/pkg/settings"
)

const minContextKeyBytes = 32

// keySet is one loaded set of keys.
type keySet struct {
	contextKeys [][]byte
	certificate *tls.Certificate
	authorities *x509.CertPool
}

// Store holds the current keys. It is safe for concurrent use.
type Store struct {
	files   settings.Keys
	current atomic.Pointer[keySet]
}

// Open loads the keys from files.
func Open(files settings.Keys) (*Store, error) {
	s := &Store{files: files}
	return s, s.Reload()
}

// Reload reloads the key files. On an error the previous keys remain in use.
func (s *Store) Reload() error {
	loaded := &keySet{}
	var errs apierror.List
	for _, path := range s.files.ContextFiles {
		key, err := readContextKey(path)
		if err != nil {
			errs = append(errs, err)
			continue
		}
		loaded.contextKeys = append(loaded.contextKeys, key)
	}
	if !s.files.AllowPlain {
		errs = append(errs, loaded.readTLS(s.files)...)
	}
	if len(errs) > 0 {
		return errs
	}
	s.current.Store(loaded)
	return nil
}

func readContextKey(path string) ([]byte, *apierror.Error) {
	key, err := os.ReadFile(path)
	if err != nil {
		return nil, apierror.InvalidField("keys.context_files", err.Error(), "make the file readable")
	}
	key = bytes.TrimSpace(key)
	if len(key) < minContextKeyBytes {
		return nil, apierror.InvalidField("keys.context_files", path+" contains fewer than 32 bytes", "write a random key of at least 32 bytes without leading or trailing white space")
	}
	return key, nil
}

func (k *keySet) readTLS(files settings.Keys) apierror.List {
	certificate, err := tls.LoadX509KeyPair(files.TLSCertFile, files.TLSKeyFile)
	if err != nil {
		return apierror.List{apierror.InvalidField("keys.tls_cert_file", err.Error(), "provide a PEM certificate and its key")}
	}
	authority, err := os.ReadFile(files.TLSCAFile)
	if err != nil {
		return apierror.List{apierror.InvalidField("keys.tls_ca_file", err.Error(), "make the file readable")}
	}
	k.certificate = &certificate
	k.authorities = x509.NewCertPool()
	if !k.authorities.AppendCertsFromPEM(authority) {
		return apierror.List{apierror.InvalidField("keys.tls_ca_file", "contains no certificate", "provide a PEM certificate")}
	}
	return nil
}

// ContextKeys returns the keys that verify call contexts. The first one also signs.
func (s *Store) ContextKeys() [][]byte {
	return s.current.Load().contextKeys
}

// NodeServer returns the TLS configuration of the listeners for other nodes, which requires a client certificate. It returns
// nil if TLS is off.
func (s *Store) NodeServer() *tls.Config {
	return s.server(tls.RequireAndVerifyClientCert)
}

// APIServer returns the TLS configuration of the operators' listener, or nil if TLS is off. It requires no client certificate,
// because operators authenticate with tokens.
func (s *Store) APIServer() *tls.Config {
	return s.server(tls.NoClientCert)
}

func (s *Store) server(auth tls.ClientAuthType) *tls.Config {
	if s.files.AllowPlain {
		return nil
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			current := s.current.Load()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{*current.certificate},
				ClientAuth:   auth,
				ClientCAs:    current.authorities,
			}, nil
		},
	}
}

// Client returns the TLS configuration for calls to other nodes, or nil if TLS is off. The server's chain is verified
// against the current certificate authorities. Its name is not checked: nodes are reached by IP address, and every certificate that an
// authority has issued belongs to a node.
func (s *Store) Client() *tls.Config {
	if s.files.AllowPlain {
		return nil
	}
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		InsecureSkipVerify: true, // VerifyConnection verifies the chain instead, against the current authorities even after a reload
		VerifyConnection:   s.verifyServer,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return s.current.Load().certificate, nil
		},
	}
}

func (s *Store) verifyServer(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return apierror.New(apierror.Unauthenticated, "the node sent no certificate", "configure its TLS files")
	}
	intermediates := x509.NewCertPool()
	for _, certificate := range state.PeerCertificates[1:] {
		intermediates.AddCert(certificate)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         s.current.Load().authorities,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	})
	return err
}
