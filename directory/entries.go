package directory

import (
	"encoding/json"
	"net/netip"
	"strings"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/bramleywick/bramleywick/core/listing"
	"github.com/bramleywick/bramleywick/logline"
	"github.com/bramleywick/bramleywick/store"
)

// server decodes the entry of a server. It logs an entry that cannot be decoded
// and returns false.
func (d *Directory) server(e store.Entry) (listing.Entry, bool) {
	s, err := d.Decoder.ParseServerEntry(e.Key, e.Value)
	if err != nil {
		d.logUnreadable(e.Key, err)
		return listing.Entry{}, false
	}
	delete(d.unreadable, e.Key)
	s.Revision = e.Revision
	return s, true
}

// instance decodes the entry of an instance. It logs an entry that cannot be
// decoded and returns false.
func (d *Directory) instance(e store.Entry) (Instance, bool) {
	i, err := parseInstance(e)
	if err != nil {
		d.logUnreadable(e.Key, err)
		return Instance{}, false
	}
	delete(d.unreadable, e.Key)
	return i, true
}

const (
	// maxInstanceBytes bounds the entry of an instance, which has some hundred
	// bytes, and maxCores the capacity that it may declare.
	maxInstanceBytes = 16 << 10
	maxCores         = 4096
)

// parseInstance decodes the entry of an instance. It returns an error for an
// entry that no instance writes.
func parseInstance(e store.Entry) (Instance, error) {
	if len(e.Value) > maxInstanceBytes {
		return Instance{}, errors.Errorf("instance entry has %d bytes, over %d", len(e.Value), maxInstanceBytes)
	}
	var i Instance
	if err := json.Unmarshal(e.Value, &i); err != nil {
		return Instance{}, errors.Wrap(err, "decode instance entry")
	}
	if i.ID == "" || InstancesPrefix+string(i.ID) != e.Key {
		return Instance{}, errors.New("instance entry has another id than its key")
	}
	if a, err := netip.ParseAddrPort(i.Address); err != nil || a.Port() == 0 {
		return Instance{}, errors.New("instance entry has no address of the form IP:port")
	}
	if a, err := netip.ParseAddrPort(i.Relay); err != nil || a.Port() == 0 {
		// The instance is of use without it.
		i.Relay = ""
	}
	if !(i.Cores >= 0 && i.Cores <= maxCores) {
		return Instance{}, errors.Errorf("instance entry has %v cores, not from 0 to %d", i.Cores, maxCores)
	}
	return i, nil
}

func (d *Directory) logUnreadable(key string, err error) {
	if d.unreadable[key] {
		return
	}
	d.unreadable[key] = true
	d.Log.Warn("store entry ignored", zap.String("key", key), logline.Error(err))
}

// notifyEntry reports a change under OwnPrefix.
func (d *Directory) notifyEntry(c store.Change) {
	if d.OnEntry != nil && strings.HasPrefix(c.Key, OwnPrefix) {
		d.OnEntry(c)
	}
}

func (d *Directory) notifyServers() { d.Observer.ServersChanged(d.list.Servers(d.now())) }

func (d *Directory) notifyInstances() {
	list := make([]Instance, 0, len(d.instances))
	for _, i := range d.instances {
		list = append(list, i)
	}
	d.Observer.InstancesChanged(list)
}
