package loadshare

import (
	"net"
	"time"
)

// chunkBytes is the number of bytes of a message whose transmission counts as
// progress.
const chunkBytes = 32 << 10

// progressConn bounds the time without progress instead of the time of a whole
// message, so that a large message over a thin link arrives: each chunk written or
// read moves the deadline by stall. If idle is set, a read may wait for so long for
// its first byte.
type progressConn struct {
	net.Conn
	idle, stall time.Duration
}

// Read implements net.Conn.
func (c *progressConn) Read(p []byte) (int, error) {
	if c.idle > 0 {
		if err := c.SetReadDeadline(time.Now().Add(c.idle)); err != nil {
			return 0, err
		}
	}
	n, err := c.Conn.Read(p)
	if n > 0 && c.idle == 0 {
		// An error shows at the next read.
		_ = c.SetReadDeadline(time.Now().Add(c.stall))
	}
	return n, err
}

// Write implements net.Conn.
func (c *progressConn) Write(p []byte) (int, error) {
	written := 0
	for written < len(p) {
		if err := c.SetWriteDeadline(time.Now().Add(c.stall)); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(p[written:min(written+chunkBytes, len(p))])
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}
