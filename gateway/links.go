package gateway

// Links is what the gateway asks of the instance's links to the servers.
type Links interface {
	// Direct reports whether a request may be sent to servers from here. It draws while
	// the links return.
	Direct() bool
	// Trusted reports whether failures of attempts say something about servers: false
	// while a partition is suspected or stands, and for a moment after.
	Trusted() bool
}

// soundLinks are the links of an instance that doesn't watch them.
type soundLinks struct{}

// Direct implements Links.
func (soundLinks) Direct() bool { return true }

// Trusted implements Links.
func (soundLinks) Trusted() bool { return true }
