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
	nestedTimeout  = 10 * time.Second // a nested call also ends when the caller of the request being served disconnects
)

// dialVerified returns a dial function for TLS connections that are verified against the CA certificates in file. The
// function reads the file on every dial, so that certificates can be rotated.
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

// tlsConfigFromFile returns a TLS configuration with the CA certificates in file, or nil if file is empty.
func tlsConfigFromFile(file string) (*tls.Config, error) {
	if file == "" {
		return nil, nil
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, eris.Wrap(err, "reading the CA certificates of the node")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, eris.Errorf("no PEM certificate in %s", file)
	}
	return &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: pool}, nil
}

// announce posts the state to the node. A failure is only logged, because announceUntil repeats the announcement.
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

// callNested calls another service through the node on behalf of r and returns the response status, or 0 if there is no
// response. It forwards the context header, which carries rank, deadline and call depth, and copies the no-retry header
// of the response into responseHeader.
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
	// Draining the body lets the transport reuse the connection.
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxNestedBytes))
	if noRetry := response.Header.Get(callctx.HeaderNoRetry); noRetry != "" {
		responseHeader.Set(callctx.HeaderNoRetry, noRetry)
	}
	return response.StatusCode
}
