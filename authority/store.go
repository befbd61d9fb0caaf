package authority

import (
	"context"

	"github.com/bramleywick/bramleywick/leaseholder"
)

// readJSON reads a key. Revision 0 means that it is absent.
func (a *Authority) readJSON(ctx context.Context, key string, out any) (revision int64, err error) {
	return leaseholder.ReadJSON(ctx, a.Store, key, out)
}

// swapJSON writes a key by compare-and-swap and returns its new revision.
func (a *Authority) swapJSON(ctx context.Context, key string, revision int64, in any, leaseID string) (int64, error) {
	return leaseholder.SwapJSON(ctx, a.Store, key, revision, in, leaseID)
}
