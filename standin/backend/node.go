package backend

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/laburnumcleat/laburnumcleat/pkg/callctx"
)

const (
	maxNestedBytes = 1 << 20
	nestedTimeout  = 10 * time.Second // when the call has no deadline of its own
)

// dialVerified opens TLS connections that are verified against the certificates in a file. It reads the file each time,
// so that keys can be rotated.
func dialVerified(file string) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		config, err := tlsConfigFromFile(file)
		if err != nil {
			return nil, err
		}
		dialer := tls.Dialer{Config: config}
		return dialer.DialContext(ctx, network, address)
	}
}

// tlsConfigFromFile returns the TLS settings for calls to the node.
func tlsConfigFromFile(file string) (*tls.Config, error) {
	if file == "" {
		return nil, nil
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, eris.Wrap(err, "reading the certificates that the node is verified against")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, eris.Errorf("%s holds no certificate", file)
	}
	return &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: pool}, nil
}

// announce posts the state to the node. A failure is logged: the next announcement follows in a second.
func (s *Server) announce(ctx context.Context, state string) {
	if s.options.NodeAPI == "" {
		return
	}
	body, err := json.Marshal(Announcement{
		Service:     s.options.Service,
		Address:     s.Address(),
		Slots:       s.options.Slots,
		Connections: s.options.Connections,
		State:       state,
	})
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, s.options.NodeAPI+"/v1/backend", bytes.NewReader(body))
	if err != nil {
		return
	}
	r.Header.Set("Content-Type", "application/json")
	if s.options.Token != "" {
		r.Header.Set("Authorization", "Bearer "+s.options.Token)
	}
	response, err := s.client.Do(r)
	if err != nil {
		s.options.Logger.Info("announcement_failed", zap.String("state", state), zap.Error(err))
		return
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusMultipleChoices {
		s.options.Logger.Info("announcement_refused", zap.String("state", state), zap.Int("status", response.StatusCode))
	}
}

// callNested calls another service through the node on behalf of r and returns the status, or 0 without a response. The
// context header makes rank, deadline and depth carry over.
func (s *Server) callNested(r *http.Request, responseHeader http.Header) int {
	ctx, cancel := context.WithTimeout(r.Context(), nestedTimeout)
	defer cancel()
	nested, err := http.NewRequestWithContext(ctx, http.MethodGet, s.options.NodeCalls+s.options.Nested, nil)
	if err != nil {
		return 0
	}
	nested.Header.Set(callctx.HeaderContext, r.Header.Get(callctx.HeaderContext))
	nested.Header.Set(callctx.HeaderRequestID, callctx.NewRequestID())
	nested.Header.Set(callctx.HeaderAttempt, "1")
	response, err := s.client.Do(nested)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	// The body is not used; reading it lets the connection be reused.
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxNestedBytes))
	if noRetry := response.Header.Get(callctx.HeaderNoRetry); noRetry != "" {
		responseHeader.Set(callctx.HeaderNoRetry, noRetry)
	}
	return response.StatusCode
}
