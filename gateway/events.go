package gateway

import (
	"bytes"
	"io"
	"strconv"

	"github.com/pkg/errors"

	"github.com/bramleywick/bramleywick/door"
)

// Errors in a server's answer.
var (
	errUnsigned     = errors.New("the answer is not signed")
	errFalsePromise = errors.New("the status says that the request did not run, but the server does not state it")
	errTooLong      = errors.New("an event exceeds the size limit")
	errOutOfOrder   = errors.New("the id of an event does not follow the one before")
)

// maxEventBytes bounds the size of one event of a stream.
const maxEventBytes = 1 << 20

var (
	idField   = []byte("id:")
	dataField = []byte("data:")
)

// eventReader reads a stream of server-sent events and returns only complete
// events: a server may fail in the middle of one, and a partial event that was
// forwarded could not be taken back.
type eventReader struct {
	in     io.Reader
	memory door.Memory
	buf    []byte
	// searched is the length of the start of buf that holds no end of an event,
	// and reserved the number of bytes of memory that are reserved for buf.
	searched int
	reserved int64
	err      error
	// last is the id of the event before, "" if none is known.
	last string
}

// next returns all complete events that have been read, at least one, and the
// last id among them ("" when none has one). The bytes are valid until the next
// call. The error is io.EOF when the stream is complete.
func (e *eventReader) next() (data []byte, id string, err error) {
	var chunk [4 << 10]byte
	for {
		if end := lastEventEnd(e.buf, e.searched); end > 0 {
			data = e.buf[:end]
			e.buf, e.searched = append([]byte(nil), e.buf[end:]...), 0
			e.release()
			if id, err = lastID(data, e.last); err != nil {
				return nil, "", err
			}
			if id != "" {
				e.last = id
			}
			return data, id, nil
		}
		e.searched = max(len(e.buf)-2, 0)
		if e.err != nil {
			return e.remainder()
		}
		if len(e.buf) > maxEventBytes {
			return nil, "", errTooLong
		}
		if !e.grow(len(chunk)) {
			return nil, "", errBuffersFull
		}
		n, err := e.in.Read(chunk[:])
		e.buf = append(e.buf, chunk[:n]...)
		e.err = err
	}
}

// lastEventEnd returns the end of the last blank line in buf, 0 if there is none after the
// byte at from. A line ends with LF, CR or CRLF.
func lastEventEnd(buf []byte, from int) int {
	for i := len(buf) - 1; i > from; i-- {
		switch {
		case !isLineEnd(buf[i]) || !isLineEnd(buf[i-1]), buf[i-1] == '\r' && buf[i] == '\n':
		case buf[i-1] == '\n' && buf[i] == '\r' && i == len(buf)-1:
			// The LF that belongs to the CR has not come yet.
		case buf[i] == '\r' && i+1 < len(buf) && buf[i+1] == '\n':
			return i + 2
		default:
			return i + 1
		}
	}
	return 0
}

func isLineEnd(c byte) bool { return c == '\n' || c == '\r' }

// cutLine returns the first line of data without its end, and what follows it. CRLF counts
// as a line end and an empty line, which changes nothing for fields.
func cutLine(data []byte) (line, rest []byte) {
	i := bytes.IndexAny(data, "\r\n")
	if i < 0 {
		return data, nil
	}
	return data[:i], data[i+1:]
}

// freeEventBytes is the size up to which the buffer is part of what the connection
// costs.
const freeEventBytes = 8 << 10

// grow makes room for n more bytes in the buffer and reports whether there is memory
// for it. While the bytes are copied, the old buffer counts too.
func (e *eventReader) grow(n int) bool {
	if cap(e.buf)-len(e.buf) >= n {
		return true
	}
	size := max(2*cap(e.buf), len(e.buf)+n)
	reserve := int64(0)
	if size > freeEventBytes {
		reserve = int64(size)
	}
	if reserve > 0 && !e.memory.ReserveAnswer(reserve) {
		return false
	}
	e.buf = append(make([]byte, 0, size), e.buf...)
	e.release()
	e.reserved = reserve
	return true
}

// release gives back the reserved bytes.
func (e *eventReader) release() {
	if e.reserved > 0 {
		e.memory.Release(e.reserved)
		e.reserved = 0
	}
}

// hasEvent reports whether data, which holds complete events, has more than
// comments, which show no progress of the answer.
func hasEvent(data []byte) bool {
	for len(data) > 0 {
		line, rest := cutLine(data)
		if bytes.HasPrefix(line, dataField) || bytes.HasPrefix(line, idField) {
			return true
		}
		data = rest
	}
	return false
}

// remainder returns the line ends after the last event once the stream is
// complete, and the stream's error otherwise. A stream that ends inside an event
// is broken, however its connection has ended.
func (e *eventReader) remainder() (data []byte, id string, err error) {
	if e.err != io.EOF || len(e.buf) == 0 {
		return nil, "", e.err
	}
	if len(bytes.Trim(e.buf, "\r\n")) > 0 {
		return nil, "", io.ErrUnexpectedEOF
	}
	data, e.buf, e.searched = e.buf, nil, 0
	return data, "", nil
}

// lastID returns the last id in data, which holds complete events; "" when there is none.
// It returns errOutOfOrder if an id does not follow the one before; the first comes after
// the event last, if that is not "".
func lastID(data []byte, last string) (id string, err error) {
	for len(data) > 0 {
		line, rest := cutLine(data)
		if value, ok := bytes.CutPrefix(line, idField); ok {
			id = string(bytes.TrimSpace(value))
			if !follows(id, last) {
				return "", errors.Wrapf(errOutOfOrder, "%q after %q", id, last)
			}
			last = id
		}
		data = rest
	}
	return id, nil
}

// follows reports whether an event may come after another. Ids that are not both numbers
// have no order, and must differ.
func follows(id, last string) bool {
	if id == "" || last == "" {
		return true
	}
	a, errA := strconv.ParseUint(id, 10, 64)
	b, errB := strconv.ParseUint(last, 10, 64)
	if errA != nil || errB != nil {
		return id != last
	}
	return a > b
}
