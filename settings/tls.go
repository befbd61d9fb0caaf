package settings

import "github.com/bramleywick/bramleywick/inifile"

// Listener names a listener in the settings, such as in [tls callers].
type Listener string

// Listeners of an instance.
const (
	ListenerCallers   Listener = "callers"
	ListenerOperators Listener = "operators"
	ListenerPeers     Listener = "peers"
	ListenerAdmin     Listener = "admin"
)

// TLS names the PEM files of a listener's certificate chain and private key.
// The files are read again when they change.
type TLS struct {
	CertificateFile string
	KeyFile         string
}

// decodeTLS reads a section [tls LISTENER].
func (s *Settings) decodeTLS(name string, section inifile.Section, dec *inifile.Decoder, faults *inifile.Faults) {
	listener := Listener(section.Name)
	switch listener {
	case ListenerCallers, ListenerOperators, ListenerAdmin:
	case ListenerPeers:
		// Accepting the section without using it would leave the exchange
		// plain while the settings say otherwise.
		*faults = append(*faults, inifile.Fault{
			File: name, Line: section.Line, Message: "[tls peers] is not supported yet: the exchange between instances is not encrypted",
			Expected: "[tls callers], [tls operators] or [tls admin]",
		})
	default:
		*faults = append(*faults, inifile.Fault{
			File: name, Line: section.Line, Message: "unknown listener [tls " + section.Name + "]",
			Expected: "[tls callers], [tls operators] or [tls admin]",
		})
	}
	if s.TLS == nil {
		s.TLS = map[Listener]TLS{}
	}
	s.TLS[listener] = TLS{
		CertificateFile: dec.Required("certificate", "a PEM file with the certificate chain"),
		KeyFile:         dec.Required("key", "a PEM file with the private key"),
	}
}
