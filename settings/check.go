package settings

import (
	"encoding/hex"
	"net/netip"
	"net/url"
	"os"
	"regexp"
	"strings"
	"time"

	"github.com/bramleywick/bramleywick/inifile"
)

const (
	// maxBalancerDelay and maxDrainLimit bound the duration of a planned stop.
	maxBalancerDelay = 5 * time.Minute
	maxDrainLimit    = 2 * time.Hour
	// minCallTimeout is above the platform's usual answer time of milliseconds.
	minCallTimeout = 50 * time.Millisecond
	maxCallTimeout = time.Minute
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$`)

// identifier returns a required name that may appear in platform keys and
// labels. It records a fault for any other value.
func identifier(dec *inifile.Decoder, key, expected string) string {
	value := dec.Required(key, expected)
	if value != "" && !namePattern.MatchString(value) {
		dec.ReportInvalid(key, expected+" of letters, digits, '.', '_' and '-', at most 128 bytes")
	}
	return value
}

// durationBetween returns a duration from least to most, or def if the key is
// missing. It records a fault for a value outside these bounds.
func durationBetween(dec *inifile.Decoder, key string, def, least, most time.Duration) time.Duration {
	d := dec.Duration(key, def)
	if d < least || d > most {
		dec.ReportInvalid(key, "a duration from "+least.String()+" to "+most.String())
	}
	return d
}

// positiveRate returns a positive number of calls a second, or def if the key
// is missing. It records a fault for any other number.
func positiveRate(dec *inifile.Decoder, key string, def float64) float64 {
	r := dec.Float(key, def)
	if r <= 0 {
		dec.ReportInvalid(key, "a number of calls a second above 0")
	}
	return r
}

// baseURL returns a required URL with a scheme, an IP address and no path,
// without a trailing slash. It records a fault for any other value.
func baseURL(dec *inifile.Decoder, key string) string {
	const expected = "a URL with an IP address and a port, such as http://127.0.0.1:7000"
	value := dec.Required(key, expected)
	if value == "" {
		return ""
	}
	u, err := url.Parse(value)
	if err == nil {
		_, err = netip.ParseAddrPort(u.Host)
	}
	if err != nil || u.Scheme != "http" && u.Scheme != "https" || strings.Trim(u.Path, "/") != "" || u.RawQuery != "" || u.User != nil {
		dec.ReportInvalid(key, expected)
	}
	return strings.TrimSuffix(value, "/")
}

// operatorKeys returns the digests from the settings and from the file that
// they name, which has one digest per line. It records a fault for anything
// else.
func operatorKeys(dec *inifile.Decoder) []string {
	const digest = "64 lower-case hex digits, as printed by sha256sum"
	hashes := dec.Strings("key_sha256")
	if !allDigests(hashes) {
		dec.ReportInvalid("key_sha256", digest)
	}
	path := dec.String("key_sha256_file", "")
	if path == "" {
		return hashes
	}
	text, err := os.ReadFile(path)
	if err != nil {
		dec.ReportInvalid("key_sha256_file", "a readable file: "+err.Error())
		return hashes
	}
	listed := strings.Fields(string(text))
	if !allDigests(listed) {
		dec.ReportInvalid("key_sha256_file", "a file with one digest a line, each of "+digest)
	}
	return append(hashes, listed...)
}

// allDigests reports whether all hashes are SHA-256 digests in lower-case hex.
func allDigests(hashes []string) bool {
	for _, h := range hashes {
		if raw, err := hex.DecodeString(h); err != nil || len(raw) != 32 || strings.ToLower(h) != h {
			return false
		}
	}
	return true
}

// checkListeners records a fault for two listeners on the same address. Port 0
// requests a free port from the operating system and cannot collide.
func (s *Settings) checkListeners(dec *inifile.Decoder) {
	seen := map[string]string{}
	for _, l := range []struct{ key, address string }{
		{"callers", s.CallerListen}, {"operators", s.OperatorListen}, {"peers", s.PeerListen}, {"admin", s.AdminListen},
	} {
		if first, ok := seen[l.address]; ok && !strings.HasSuffix(l.address, ":0") {
			dec.ReportInvalid(l.key, "an address of its own; "+first+" listens on "+l.address)
		}
		seen[l.address] = l.key
	}
}
