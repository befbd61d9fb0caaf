package peer

import (
	"bufio"
	"encoding/gob"
	"io"
	"net"
	"net/rpc"
	"time"

	"github.com/pkg/errors"
)

const (
	// maxMessageBytes is the maximum size of a message read from a peer. It has
	// room for the largest configuration, of 1 MB, and its framing.
	maxMessageBytes = 2 << 20
	// writeTimeout limits the wait for a peer that has stopped reading.
	writeTimeout = 2 * time.Second
)

// errTooLarge is returned for a message beyond maxMessageBytes and ends the
// connection.
var errTooLarge = errors.New("message from peer exceeds the limit")

// boundedReader reads at most left bytes from r and then fails with
// errTooLarge. It implements io.ByteReader, so that gob reads from it without a
// buffer of its own.
type boundedReader struct {
	r    *bufio.Reader
	left int
}

func (b *boundedReader) Read(p []byte) (int, error) {
	if b.left <= 0 {
		return 0, errTooLarge
	}
	n, err := b.r.Read(p[:min(len(p), b.left)])
	b.left -= n
	return n, err
}

func (b *boundedReader) ReadByte() (byte, error) {
	if b.left <= 0 {
		return 0, errTooLarge
	}
	b.left--
	return b.r.ReadByte()
}

// gobConn encodes and decodes the messages of net/rpc as gob with limits on
// size and time. The next message must arrive within idle; 0 means no limit.
// gobConn implements the parts that rpc.ClientCodec and rpc.ServerCodec share.
type gobConn struct {
	conn net.Conn
	in   *boundedReader
	dec  *gob.Decoder
	out  *bufio.Writer
	enc  *gob.Encoder
	idle time.Duration
}

func newGobConn(conn net.Conn, idle time.Duration) *gobConn {
	in := &boundedReader{r: bufio.NewReader(conn)}
	out := bufio.NewWriter(conn)
	return &gobConn{conn: conn, in: in, dec: gob.NewDecoder(in), out: out, enc: gob.NewEncoder(out), idle: idle}
}

// shortNames maps methods to shorter names on the wire. They save fifteen bytes
// in each of the 34 messages per second: gob omits an empty name.
var shortNames = map[string]string{pushMethod: "", configMethod: "C"}

// readHeader reads the header of the next message and starts its size limit and
// idle timeout.
func (c *gobConn) readHeader(header any) error {
	c.in.left = maxMessageBytes
	if c.idle > 0 {
		if err := c.conn.SetReadDeadline(time.Now().Add(c.idle)); err != nil {
			return errors.Wrap(err, "set read deadline")
		}
	}
	return c.dec.Decode(header)
}

// readBody reads the body that follows a header.
func (c *gobConn) readBody(body any) error { return c.dec.Decode(body) }

// write sends one message and fails after writeTimeout.
func (c *gobConn) write(header, body any) error {
	if err := c.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return errors.Wrap(err, "set write deadline")
	}
	if err := c.enc.Encode(header); err != nil {
		return errors.Wrap(err, "encode header")
	}
	if err := c.enc.Encode(body); err != nil {
		return errors.Wrap(err, "encode body")
	}
	return errors.Wrap(c.out.Flush(), "send message")
}

// Close implements rpc.ClientCodec and rpc.ServerCodec.
func (c *gobConn) Close() error { return c.conn.Close() }

// clientCodec implements rpc.ClientCodec with short method names.
type clientCodec struct{ *gobConn }

func (c clientCodec) WriteRequest(r *rpc.Request, body any) error {
	header := *r
	if short, ok := shortNames[r.ServiceMethod]; ok {
		header.ServiceMethod = short
	}
	return c.write(&header, body)
}

func (c clientCodec) ReadResponseHeader(r *rpc.Response) error { return c.readHeader(r) }
func (c clientCodec) ReadResponseBody(body any) error          { return c.readBody(body) }

// serverCodec implements rpc.ServerCodec with short method names.
type serverCodec struct{ *gobConn }

func (c serverCodec) ReadRequestHeader(r *rpc.Request) error {
	err := c.readHeader(r)
	for method, short := range shortNames {
		if r.ServiceMethod == short {
			r.ServiceMethod = method
		}
	}
	return err
}

func (c serverCodec) ReadRequestBody(body any) error { return c.readBody(body) }

// WriteResponse implements rpc.ServerCodec. It closes the connection after a
// failed write, because net/rpc would go on reading requests whose replies
// cannot be sent.
func (c serverCodec) WriteResponse(r *rpc.Response, body any) error {
	header := *r
	header.ServiceMethod = "" // the client matches replies by their sequence number
	err := c.write(&header, body)
	if err != nil {
		_ = c.conn.Close()
	}
	return err
}

var (
	_ rpc.ClientCodec = clientCodec{}
	_ rpc.ServerCodec = serverCodec{}
	_ io.ByteReader   = (*boundedReader)(nil)
)
