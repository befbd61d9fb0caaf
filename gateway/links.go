package gateway

// Links is what the gateway asks of the instance's links to the servers.
type Links interface {
	// Direct reports whether a request may be sent to servers from here. It draws while
	// the links return.
	Direct() bool
	// Partitioned reports whether no server can be reached: false while a partition is
	// only suspected, and while the links return.
	Partitioned() bool
	// Trusted reports whether failures of attempts say something about servers: false
	// while a partition is suspected or stands, and for a moment after.
	Trusted() bool
}

// soundLinks are the links of an instance that doesn't watch them.
type soundLinks struct{}

// Direct implements Links.
func (soundLinks) Direct() bool { return true }

// Partitioned implements Links.
func (soundLinks) Partitioned() bool { return false }

// Trusted implements Links.
func (soundLinks) Trusted() bool { return true }
