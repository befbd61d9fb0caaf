package authority

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/bramleywick/bramleywick/store"
)

// readJSON reads a key; revision 0 means that it is absent.
func (a *Authority) readJSON(ctx context.Context, key string, out any) (revision int64, err error) {
	entry, err := a.Store.Get(ctx, key)
	if errors.Is(err, store.ErrNotFound) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	return entry.Revision, errors.Wrapf(json.Unmarshal(entry.Value, out), "decode %s", key)
}

func (a *Authority) swapJSON(ctx context.Context, key string, revision int64, in any, leaseID string) (int64, error) {
	raw, err := json.Marshal(in)
	if err != nil {
		return 0, errors.Wrapf(err, "encode %s", key)
	}
	entry, err := a.Store.CompareAndSwap(ctx, key, revision, raw, leaseID)
	return entry.Revision, err
}
