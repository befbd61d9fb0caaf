package gateway

import (
	"bytes"
	"io"

	"github.com/pkg/errors"
)

// Faults of a server's answer.
var (
	errUnsigned     = errors.New("the answer is not signed")
	errFalsePromise = errors.New("the status promises what the server does not state")
	errTooLong      = errors.New("an event is too long")
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

var (
	eventEnd = []byte("\n\n")
	idField  = []byte("id:")
)

// events reads a stream of server-sent events, whole events at a time: a server
// may stop in the middle of one, and what has been passed on of it could not be
// taken back.
type events struct {
	in  io.Reader
	buf []byte
	err error
}

// next returns the whole events that are there, at least one, and the id of the
// last of them ("" when none has one). The bytes are valid until the next call.
// io.EOF means that the stream is complete.
func (e *events) next() (data []byte, id string, err error) {
	var chunk [4 << 10]byte
	for {
		if end := bytes.LastIndex(e.buf, eventEnd); end >= 0 {
			data = e.buf[:end+len(eventEnd)]
			e.buf = append([]byte(nil), e.buf[end+len(eventEnd):]...)
			return data, lastID(data), nil
		}
		if e.err != nil {
			return e.rest()
		}
		if len(e.buf) > maxEventBytes {
			return nil, "", errTooLong
		}
		n, err := e.in.Read(chunk[:])
		e.buf = append(e.buf, chunk[:n]...)
		e.err = err
	}
}

// rest returns what follows the last event once the stream has ended.
func (e *events) rest() (data []byte, id string, err error) {
	if e.err != io.EOF || len(e.buf) == 0 {
		return nil, "", e.err
	}
	data, e.buf = e.buf, nil
	return data, lastID(data), nil
}

// lastID returns the last id in whole events.
func lastID(data []byte) string {
	id := ""
	for len(data) > 0 {
		line, rest, _ := bytes.Cut(data, []byte("\n"))
		if value, ok := bytes.CutPrefix(line, idField); ok {
			id = string(bytes.TrimSpace(value))
		}
		data = rest
	}
	return id
}
