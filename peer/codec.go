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
	// maxMessage bounds one message read from a peer: the largest
	// configuration of 1 MB with its framing.
	maxMessage = 2 << 20
	// writeTimeout bounds the wait for a peer that stopped reading.
	writeTimeout = 2 * time.Second
)

// errTooLarge closes the connection of a peer that sends too much at once.
var errTooLarge = errors.New("message from peer exceeds the limit")

// boundedReader lets at most left bytes through. It implements io.ByteReader,
// so that gob reads from it without a buffer of its own.
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

// gobConn reads and writes the messages of net/rpc as gob with bounds on size
// and time. It implements rpc.ClientCodec and rpc.ServerCodec.
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

// shortNames save fifteen bytes in each of the 34 messages per second: gob
// leaves out an empty name.
var shortNames = map[string]string{pushMethod: "", configMethod: "C"}

// start begins a new message of bounded size.
func (c *gobConn) start(header any) error {
	c.in.left = maxMessage
	if c.idle > 0 {
		if err := c.conn.SetReadDeadline(time.Now().Add(c.idle)); err != nil {
			return errors.Wrap(err, "set read deadline")
		}
	}
	return c.dec.Decode(header)
}

func (c *gobConn) body(body any) error { return c.dec.Decode(body) }

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

// Close implements both codecs.
func (c *gobConn) Close() error { return c.conn.Close() }

type clientCodec struct{ *gobConn }

func (c clientCodec) WriteRequest(r *rpc.Request, body any) error {
	header := *r
	if short, ok := shortNames[r.ServiceMethod]; ok {
		header.ServiceMethod = short
	}
	return c.write(&header, body)
}

func (c clientCodec) ReadResponseHeader(r *rpc.Response) error { return c.start(r) }
func (c clientCodec) ReadResponseBody(body any) error          { return c.body(body) }

type serverCodec struct{ *gobConn }

func (c serverCodec) ReadRequestHeader(r *rpc.Request) error {
	err := c.start(r)
	for method, short := range shortNames {
		if r.ServiceMethod == short {
			r.ServiceMethod = method
		}
	}
	return err
}

func (c serverCodec) ReadRequestBody(body any) error { return c.body(body) }

// WriteResponse closes the connection after a failed write, because net/rpc
// would go on reading requests whose answers cannot be sent.
func (c serverCodec) WriteResponse(r *rpc.Response, body any) error {
	header := *r
	header.ServiceMethod = "" // the client matches answers by their number
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
