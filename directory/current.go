package directory

// Current reports whether the last known state is up to date: the last call
// succeeded, and its result was complete less than minOutage ago.
func (d *Directory) Current() bool {
	return d.isConnected() && d.Synced() && d.history.age() < minOutage
}

func (d *Directory) isConnected() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.connected
}
