// Package settings reads the INI settings of an instance.
package settings

import (
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/inifile"
)

// Settings are what one instance learns from its settings file.
type Settings struct {
	Instance   fleet.InstanceID
	DataCentre fleet.DataCentre
	// CallerListen, OperatorListen, PeerListen and AdminListen are IP
	// addresses with ports.
	CallerListen   string
	OperatorListen string
	PeerListen     string
	AdminListen    string
	// Platform is the base URL of the platform's service.
	Platform string
	// OperatorKeyHashes are hex SHA-256 digests of operators' keys.
	OperatorKeyHashes []string
	// BalancerDelay is how long the balancer takes to notice that the
	// instance is not ready.
	BalancerDelay time.Duration
	// DrainLimit bounds the wait for running answers at a planned stop.
	DrainLimit time.Duration
	// TLS holds the certificates of the listeners that use TLS.
	TLS map[Listener]TLS
	// MaxConnections bounds the open connections of callers.
	MaxConnections int
}

// defaultMaxConnections allows each open request a connection and as many idle
// ones.
const defaultMaxConnections = 8192

// Load reads and checks a settings file.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	return Parse(path, text)
}

// Parse checks settings and returns every fault found, with file and line.
func Parse(name string, text []byte) (*Settings, error) {
	file, err := inifile.Parse(name, text)
	if err != nil {
		return nil, err
	}
	var faults inifile.Faults
	s := &Settings{}
	seen := map[string]bool{}
	for _, section := range file.Sections {
		seen[section.Kind] = true
		s.decode(name, section, &faults)
	}
	for _, required := range []string{"instance", "listen", "platform"} {
		if !seen[required] {
			faults = append(faults, inifile.Fault{File: name, Line: 1, Message: "section [" + required + "] is missing"})
		}
	}
	return s, faults.Err()
}

func (s *Settings) decode(name string, section inifile.Section, faults *inifile.Faults) {
	dec := inifile.NewDecoder(name, section, faults)
	switch section.Kind {
	case "instance":
		s.Instance = fleet.InstanceID(dec.Required("id", "the instance's name"))
		s.DataCentre = fleet.DataCentre(dec.Required("data_centre", "a data centre's name"))
		s.BalancerDelay = dec.Duration("balancer_delay", 5*time.Second)
		s.DrainLimit = dec.Duration("drain_limit", 10*time.Minute)
	case "listen":
		s.CallerListen = dec.Address("callers", "127.0.0.1:8080")
		s.OperatorListen = dec.Address("operators", "127.0.0.1:8081")
		s.PeerListen = dec.Address("peers", "127.0.0.1:8082")
		s.AdminListen = dec.Address("admin", "127.0.0.1:8083")
		s.MaxConnections = dec.Int("max_connections", defaultMaxConnections)
	case "tls":
		s.decodeTLS(name, section, dec, faults)
	case "platform":
		s.Platform = dec.Required("url", "a URL such as http://127.0.0.1:7000")
	case "operators":
		s.OperatorKeyHashes = dec.Strings("key_sha256")
	default:
		*faults = append(*faults, inifile.Fault{
			File: name, Line: section.Line, Message: "unknown section [" + section.Kind + "]",
			Expected: "[instance], [listen], [tls LISTENER], [platform] or [operators]",
		})
		return
	}
	dec.Done()
}
