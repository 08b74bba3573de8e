package rpc

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/json"
	"io"
	"strconv"

	"github.com/laburnumcleat/laburnumcleat/pkg/apierror"
)

const headerBytes = 4

// frameCodec frames messages as a 4-byte big-endian length followed by JSON. It rejects messages over MaxMessageBytes, and
// allocates memory only as the bytes of a message arrive.
type frameCodec struct {
	socket *timedConn // nil: no time limit per message
}

// WriteObject writes a message as one frame.
func (frameCodec) WriteObject(stream io.Writer, object any) error {
	body, err := json.Marshal(object)
	if err != nil {
		return err
	}
	if len(body) > MaxMessageBytes {
		return errTooLarge(len(body))
	}
	frame := make([]byte, headerBytes, headerBytes+len(body))
	binary.BigEndian.PutUint32(frame, uint32(len(body)))
	_, err = stream.Write(append(frame, body...))
	return err
}

// ReadObject reads the message of the next frame.
func (c frameCodec) ReadObject(stream *bufio.Reader, v any) error {
	var header [headerBytes]byte
	if _, err := io.ReadFull(stream, header[:1]); err != nil {
		return err
	}
	if c.socket != nil {
		c.socket.beginFrame()
		defer c.socket.endFrame()
	}
	if _, err := io.ReadFull(stream, header[1:]); err != nil {
		return io.ErrUnexpectedEOF
	}
	length := binary.BigEndian.Uint32(header[:])
	if length > MaxMessageBytes {
		return errTooLarge(int(length))
	}
	var body bytes.Buffer
	if _, err := io.CopyN(&body, stream, int64(length)); err != nil {
		return io.ErrUnexpectedEOF
	}
	return json.Unmarshal(body.Bytes(), v)
}

// encode rejects params and results over the size limit before they reach the library. The library would drop an oversized
// result, and the caller would get no response.
func encode(v any) (json.RawMessage, error) {
	const envelopeBytes = 1 << 10
	encoded, err := json.Marshal(v)
	if err != nil {
		return nil, apierror.New(apierror.Internal, "encoding a control message: "+err.Error(), "")
	}
	if len(encoded) > MaxMessageBytes-envelopeBytes {
		return nil, errTooLarge(len(encoded))
	}
	return encoded, nil
}

func errTooLarge(n int) error {
	return apierror.New(apierror.TooLarge, "control message of "+strconv.Itoa(n)+" bytes", "reduce the configuration state below 16 MiB")
}
