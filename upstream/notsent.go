package upstream

import (
	"net"

	"github.com/pkg/errors"
)

// NotSent tells whether a failed call certainly sent nothing: its connection
// was never established.
func NotSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
