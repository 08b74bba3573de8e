// Package rpc carries control messages between nodes: JSON-RPC 2.0 over TCP.
//
// Clients keep one connection per address and close it when idle. Every message has a size limit and every call a timeout.
// The bytes of every socket are counted to measure the control traffic of a node.
package rpc

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/laburnumcleat/laburnumcleat/pkg/apierror"
)

const (
	// MaxMessageBytes limits one message. A full configuration state must fit.
	MaxMessageBytes = 16 << 20

	dialTimeout        = 2 * time.Second // includes the TLS handshake
	defaultCallTimeout = 3 * time.Second
	handlerTimeout     = 30 * time.Second
	frameTimeout       = 30 * time.Second // for a message, from its first byte
	writeTimeout       = 10 * time.Second // for one message to a peer that does not read

	// The client timeout is shorter, so that no request is sent on a connection that the server is closing.
	clientIdleTimeout = 30 * time.Second
	serverIdleTimeout = 60 * time.Second
)

// Handler serves one method. The params are the raw JSON of the request. The context ends after 30 s or when the
// connection is closed.
type Handler func(ctx context.Context, params json.RawMessage) (any, error)

// newConn starts a JSON-RPC connection. onClose is called when it is closed; it must not call the connection.
func newConn(socket *timedConn, handler jsonrpc2.Handler, onClose func()) *jsonrpc2.Conn {
	return jsonrpc2.NewConn(context.Background(), newFrameStream(socket, onClose), handler, jsonrpc2.SetLogger(discardLogger{}))
}

// discardLogger drops the log lines of the library. Failures are returned to the caller, which logs them.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

// toWire converts an error to its wire format and preserves kind and remedy.
func toWire(err error) *jsonrpc2.Error {
	var typed *apierror.Error
	if !errors.As(err, &typed) {
		typed = apierror.New(apierror.KindOf(err), err.Error(), "")
	}
	wire := &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: typed.Message}
	wire.SetError(typed)
	return wire
}

// fromWire restores the typed error of the peer. A connection failure becomes an error of kind Unavailable.
func fromWire(address string, err error) error {
	var wire *jsonrpc2.Error
	if errors.As(err, &wire) {
		typed := &apierror.Error{}
		if wire.Data != nil && json.Unmarshal(*wire.Data, typed) == nil && typed.Kind != "" {
			return typed
		}
		return apierror.New(apierror.Internal, wire.Message, "")
	}
	var local *apierror.Error
	if errors.As(err, &local) {
		return local
	}
	return apierror.New(apierror.Unavailable, "node "+address+": "+err.Error(), "check that the node is running and reachable")
}
