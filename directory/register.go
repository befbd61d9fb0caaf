package directory

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/bramleywick/bramleywick/logline"
	"github.com/bramleywick/bramleywick/store"
)

const (
	// registrationTTL is how long an instance stays listed after its last lease
	// renewal; the other instances notice a failure sooner by the exchange.
	registrationTTL = 6 * time.Second
	// renewInterval is the mean time between renewals; it allows two attempts
	// before the registration expires.
	renewInterval = 2 * time.Second
)

// Registry is the part of the store's client that Register needs.
type Registry interface {
	Put(ctx context.Context, key string, value []byte, leaseID string) (store.Entry, error)
	GrantLease(ctx context.Context, ttl time.Duration) (store.Lease, error)
	RenewLease(ctx context.Context, id string) error
	RevokeLease(ctx context.Context, id string) error
}

// Register keeps an instance listed until the context ends, and then removes it
// from the list.
func Register(ctx context.Context, s Registry, i Instance, log *zap.Logger) {
	value, err := json.Marshal(i)
	if err != nil {
		log.Error("the instance cannot be listed", logline.Error(err))
		return
	}
	lease := ""
	for ctx.Err() == nil {
		switch {
		case lease == "":
			lease = register(ctx, s, i, value, log)
		default:
			if err := s.RenewLease(ctx, lease); errors.Is(err, store.ErrLeaseLost) {
				log.Warn("the instance is not listed any more; listing it again")
				lease = ""
				continue
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(renewInterval*3/4 + rand.N(renewInterval/2)):
		}
	}
	if lease == "" {
		return
	}
	end, stop := context.WithTimeout(context.Background(), time.Second)
	defer stop()
	if err := s.RevokeLease(end, lease); err != nil {
		log.Info("registration not revoked; its lease expires by itself", logline.Error(err))
	}
}

// register writes the instance's key under a new lease and returns the lease's
// id, or "" after a failure.
func register(ctx context.Context, s Registry, i Instance, value []byte, log *zap.Logger) string {
	lease, err := s.GrantLease(ctx, registrationTTL)
	if err != nil {
		log.Info("the instance is not listed yet", logline.Error(err))
		return ""
	}
	if _, err := s.Put(ctx, InstancesPrefix+string(i.ID), value, lease.ID); err != nil {
		log.Info("the instance is not listed yet", logline.Error(err))
		return ""
	}
	return lease.ID
}
