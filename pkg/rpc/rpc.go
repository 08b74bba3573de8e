// Package rpc carries control messages between nodes: JSON-RPC 2.0 over TCP.
//
// Connections are kept per address and closed when idle. Every message has a size limit, every call a time limit, and
// the bytes of every socket are counted, so that the control traffic of a node can be measured.
package rpc

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/laburnumcleat/laburnumcleat/pkg/apierror"
)

const (
	// MaxMessageBytes limits one message. A full configuration state must fit.
	MaxMessageBytes = 16 << 20

	dialTimeout        = 2 * time.Second
	defaultCallTimeout = 3 * time.Second
	idleTimeout        = 30 * time.Second // an unused connection is closed after this time
	maxHeaderBytes     = 4
)

// Bytes counts what passed the sockets of one node.
type Bytes struct {
	Sent, Received atomic.Int64
}

// Handler serves one method. The params are the raw JSON of the request.
type Handler func(ctx context.Context, params json.RawMessage) (any, error)

// countingConn counts bytes and renews the idle deadline on each read and write.
type countingConn struct {
	net.Conn
	bytes *Bytes
}

func (c *countingConn) Read(p []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(idleTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	c.bytes.Received.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(idleTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	c.bytes.Sent.Add(int64(n))
	return n, err
}

// limitedCodec frames messages as a 4-byte big-endian length and JSON, and refuses messages over the limit before it
// allocates memory for them.
type limitedCodec struct{}

func (limitedCodec) WriteObject(stream io.Writer, object any) error {
	body, err := json.Marshal(object)
	if err != nil {
		return err
	}
	if len(body) > MaxMessageBytes {
		return errTooLarge(len(body))
	}
	frame := make([]byte, maxHeaderBytes, maxHeaderBytes+len(body))
	putLength(frame, len(body))
	_, err = stream.Write(append(frame, body...))
	return err
}

func (limitedCodec) ReadObject(stream *bufio.Reader, v any) error {
	header := make([]byte, maxHeaderBytes)
	if _, err := io.ReadFull(stream, header); err != nil {
		return err
	}
	length := getLength(header)
	if length > MaxMessageBytes {
		return errTooLarge(length)
	}
	body := make([]byte, length)
	if _, err := io.ReadFull(stream, body); err != nil {
		return err
	}
	return json.NewDecoder(bytes.NewReader(body)).Decode(v)
}

func putLength(b []byte, n int) {
	b[0], b[1], b[2], b[3] = byte(n>>24), byte(n>>16), byte(n>>8), byte(n)
}

func getLength(b []byte) int {
	return int(b[0])<<24 | int(b[1])<<16 | int(b[2])<<8 | int(b[3])
}

func errTooLarge(n int) error {
	return apierror.New(apierror.TooLarge, "control message of "+strconv.Itoa(n)+" bytes", "reduce the configuration state below 16 MiB")
}

// newConn starts a JSON-RPC connection on a counted socket.
func newConn(socket net.Conn, bytes *Bytes, handler jsonrpc2.Handler) *jsonrpc2.Conn {
	counted := &countingConn{Conn: socket, bytes: bytes}
	stream := jsonrpc2.NewBufferedStream(counted, limitedCodec{})
	return jsonrpc2.NewConn(context.Background(), stream, handler, jsonrpc2.SetLogger(discardLogger{}))
}

// discardLogger drops the library's log lines: failures reach the caller as errors and are logged there.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

// toWire converts an error into its wire form, keeping kind and remedy.
func toWire(err error) *jsonrpc2.Error {
	var typed *apierror.Error
	if !errors.As(err, &typed) {
		typed = apierror.New(apierror.KindOf(err), err.Error(), "")
	}
	wire := &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: typed.Message}
	wire.SetError(typed)
	return wire
}

// fromWire restores the typed error of the remote side. A connection failure becomes Unavailable.
func fromWire(address string, err error) error {
	var wire *jsonrpc2.Error
	if errors.As(err, &wire) {
		typed := &apierror.Error{}
		if wire.Data != nil && json.Unmarshal(*wire.Data, typed) == nil && typed.Kind != "" {
			return typed
		}
		return apierror.New(apierror.Internal, wire.Message, "")
	}
	return apierror.New(apierror.Unavailable, "node "+address+": "+err.Error(), "check that the node is running and reachable")
}
