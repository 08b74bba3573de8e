package rpc

import (
	"bufio"

	"github.com/sourcegraph/jsonrpc2"
)

// readBufferBytes is small, since a node has dozens of connections on which little happens. The rest of a longer message is read without it.
const readBufferBytes = 1 << 10

// frameStream is a jsonrpc2.ObjectStream of frames. Unlike the one of the library, it has no buffer for writes, and a small one for reads. The
// library writes one object at a time and closes a stream once.
type frameStream struct {
	codec   frameCodec
	reader  *bufio.Reader
	onClose func()
}

var _ jsonrpc2.ObjectStream = (*frameStream)(nil)

func newFrameStream(socket *timedConn, onClose func()) *frameStream {
	return &frameStream{codec: frameCodec{socket: socket}, reader: bufio.NewReaderSize(socket, readBufferBytes), onClose: onClose}
}

// WriteObject implements jsonrpc2.ObjectStream.
func (s *frameStream) WriteObject(object any) error {
	return s.codec.WriteObject(s.codec.socket, object)
}

// ReadObject implements jsonrpc2.ObjectStream.
func (s *frameStream) ReadObject(v any) error { return s.codec.ReadObject(s.reader, v) }

// Close implements jsonrpc2.ObjectStream.
func (s *frameStream) Close() error {
	err := s.codec.socket.Close()
	s.onClose()
	return err
}
