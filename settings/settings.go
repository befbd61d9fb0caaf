// Package settings reads the INI settings of an instance.
package settings

import (
	"os"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/inifile"
	"github.com/bramleywick/bramleywick/store"
)

// Settings holds the contents of an instance's settings file.
type Settings struct {
	Instance   fleet.InstanceID
	DataCentre fleet.DataCentre
	// Region names the data centres whose engines are used together.
	Region string
	// PeerSeeds are addresses of other instances' listeners for peers, tried in
	// addition to the platform's list.
	PeerSeeds []string
	// PeerAddress is the address at which peers reach this instance if it is
	// not the one it listens on.
	PeerAddress string
	// CallerListen, OperatorListen, PeerListen and AdminListen are IP addresses
	// with ports.
	CallerListen   string
	OperatorListen string
	PeerListen     string
	AdminListen    string
	// Platform is the base URL of the platform's service.
	Platform string
	// PlatformLimits limits the calls to the platform's service.
	PlatformLimits store.Limits
	// OperatorKeyHashes are hex SHA-256 digests of operators' keys.
	OperatorKeyHashes []string
	// BalancerDelay is how long the balancer takes to notice that the instance
	// is not ready.
	BalancerDelay time.Duration
	// DrainLimit bounds the wait for running answers at a planned stop.
	DrainLimit time.Duration
	// TLS holds the files of the listeners that use TLS.
	TLS map[Listener]TLS
	// MaxConnections bounds the open connections of callers.
	MaxConnections int
}

// kindTLS is the kind of the sections [tls LISTENER].
const kindTLS = "tls"

// defaultMaxConnections allows a connection for each open request and as many
// idle ones.
const defaultMaxConnections = 8192

// Load reads and checks a settings file and applies overrides, which may be
// nil. With an empty path, the overrides are the only settings.
func Load(path string, overrides Overrides) (*Settings, error) {
	if path == "" {
		return parse("settings", nil, overrides)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	return parse(path, text, overrides)
}

// Parse reads and checks settings and returns all faults, with file and line,
// in one error.
func Parse(name string, text []byte) (*Settings, error) { return parse(name, text, nil) }

func parse(name string, text []byte, overrides Overrides) (*Settings, error) {
	file, err := inifile.Parse(name, text)
	if err != nil {
		return nil, err
	}
	overrides.apply(file)
	var faults inifile.Faults
	s := &Settings{PlatformLimits: store.DefaultLimits()}
	seen := map[string]bool{}
	for _, section := range tlsLast(file.Sections) {
		seen[section.Kind] = true
		s.decode(name, section, &faults)
	}
	for _, required := range []string{"instance", "listen", "platform"} {
		if !seen[required] {
			faults = append(faults, inifile.Fault{File: name, Line: 1, Message: "section [" + required + "] is missing", Expected: "[" + required + "] with its keys"})
		}
	}
	return s, faults.Err()
}

// tlsLast sorts the TLS sections last, because a certificate is checked against
// the addresses in the other sections.
func tlsLast(sections []inifile.Section) []inifile.Section {
	sorted := slices.Clone(sections)
	slices.SortStableFunc(sorted, func(a, b inifile.Section) int {
		switch {
		case a.Kind != kindTLS && b.Kind == kindTLS:
			return -1
		case a.Kind == kindTLS && b.Kind != kindTLS:
			return 1
		}
		return 0
	})
	return sorted
}

// decode reads one section and records its faults. Only a [tls LISTENER]
// section has a name besides its kind.
func (s *Settings) decode(file string, section inifile.Section, faults *inifile.Faults) {
	dec := inifile.NewDecoder(file, section, faults)
	kind := section.Kind
	if section.Name != "" && kind != kindTLS {
		kind += " " + section.Name
	}
	switch kind {
	case "instance":
		s.Instance = fleet.InstanceID(identifier(dec, "id", "the instance's name"))
		s.DataCentre = fleet.DataCentre(identifier(dec, "data_centre", "a data centre's name"))
		s.Region = dec.String("region", "")
		s.BalancerDelay = durationBetween(dec, "balancer_delay", 5*time.Second, 0, maxBalancerDelay)
		s.DrainLimit = durationBetween(dec, "drain_limit", 10*time.Minute, time.Second, maxDrainLimit)
	case "listen":
		s.CallerListen = dec.Address("callers", "127.0.0.1:8080")
		s.OperatorListen = dec.Address("operators", "127.0.0.1:8081")
		s.PeerListen = dec.Address("peers", "127.0.0.1:8082")
		s.AdminListen = dec.Address("admin", "127.0.0.1:8083")
		s.MaxConnections = dec.Int("max_connections", defaultMaxConnections)
		s.checkListeners(dec)
	case "peers":
		s.PeerSeeds = dec.Strings("seeds")
		s.PeerAddress = dec.Address("address", "")
	case kindTLS:
		s.decodeTLS(file, section, dec, faults)
	case "platform":
		s.Platform = baseURL(dec, "url")
		s.PlatformLimits = store.Limits{
			ReadsPerSecond:  positiveRate(dec, "reads_per_second", s.PlatformLimits.ReadsPerSecond),
			WritesPerSecond: positiveRate(dec, "writes_per_second", s.PlatformLimits.WritesPerSecond),
			CallTimeout:     durationBetween(dec, "call_timeout", s.PlatformLimits.CallTimeout, minCallTimeout, maxCallTimeout),
		}
	case "operators":
		s.OperatorKeyHashes = operatorKeys(dec)
	default:
		*faults = append(*faults, inifile.Fault{
			File: file, Line: section.Line, Message: "unknown section [" + kind + "]",
			Expected: "[instance], [listen], [tls LISTENER], [peers], [platform] or [operators]",
		})
		return
	}
	dec.ReportUnknownKeys()
}
