package gateway

// Links tells what is known of this instance's connections to all servers together.
type Links interface {
	// Direct reports whether a request may be sent to servers from here. While the
	// links return it draws, so that they are filled again step by step.
	Direct() bool
	// Trusted reports whether failures of attempts say something about servers.
	Trusted() bool
}

// soundLinks are the links of an instance that does not watch them.
type soundLinks struct{}

// Direct implements Links.
func (soundLinks) Direct() bool { return true }

// Trusted implements Links.
func (soundLinks) Trusted() bool { return true }
