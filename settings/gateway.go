package settings

import (
	"net"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/bramleywick/bramleywick/core/fleet"
)

// Gateway holds the settings of an instance that runs on the users' platform,
// where configuration, servers and instances are found through the store.
type Gateway struct {
	Instance   fleet.InstanceID
	DataCentre fleet.DataCentre
	// DataCentres is the number of data centres of the deployment.
	DataCentres int
	// CallerListen, ReadyListen, PeerListen and MetricsListen are IP addresses
	// with ports.
	CallerListen  string
	ReadyListen   string
	PeerListen    string
	MetricsListen string
	// RelayListen is the address for requests that other instances relay; "" takes none.
	RelayListen string
	// Store is the address of the platform's store.
	Store string
	// Cores is the processor capacity in cores.
	Cores float64
	// MemoryBytes and Descriptors are the process's limits.
	MemoryBytes int64
	Descriptors int
	// DrainBound is how long a leaving server may still receive requests.
	DrainBound time.Duration
	// Grace is the time between the request to stop and the kill.
	Grace time.Duration
	// BudgetRatio, BudgetWindow and BudgetSlack bound the extra requests of all
	// instances together: BudgetRatio is their number per request of a caller,
	// BudgetSlack the number allowed besides, both within BudgetWindow.
	BudgetRatio  float64
	BudgetWindow time.Duration
	BudgetSlack  float64
	// OrderLease is the time within which the order lease must not change
	// hands.
	OrderLease time.Duration
	// MinLease is the shortest lease that the store grants.
	MinLease time.Duration
	// StrictRevocation requires that no request runs that was sent later than
	// RevocationBound after the revocation of its key.
	StrictRevocation bool
	RevocationBound  time.Duration
	// ConfigDeadline is the time within which a new configuration takes effect.
	ConfigDeadline time.Duration
	// RequireFencing reports whether the platform rejects a call whose fencing
	// number is lower than one that it has seen.
	RequireFencing bool
	// Cloud is the platform's API for calls that one instance at a time makes.
	Cloud Cloud
	// ReportWindow is the length of a window of usage reports, and UsageDelay the
	// time after its end within which its report is due.
	ReportWindow time.Duration
	UsageDelay   time.Duration
}

// Duties that one instance at a time performs.
const (
	DutyUsageReporting = "usage_reporting"
	DutyAutoscaling    = "autoscaling"
)

// Cloud holds the settings of the platform's API for duties.
type Cloud struct {
	// Address is an IP address with a port; "" without such an API.
	Address string
	// Duties are the duties that the instances perform.
	Duties []string
	// CallsPerSecond bounds the calls of all instances together.
	CallsPerSecond float64
}

// Performs reports whether the instances perform a duty.
func (c Cloud) Performs(duty string) bool {
	return c.Address != "" && slices.Contains(c.Duties, duty)
}

// Defaults of optional settings.
const (
	defaultGrace          = 8 * time.Second
	defaultDrainBound     = 2 * time.Second
	defaultBudgetWindow   = 10 * time.Second
	defaultOrderLease     = 3 * time.Second
	defaultReportWindow   = 5 * time.Second
	defaultUsageDelay     = 10 * time.Second
	defaultCallsPerSecond = 50
	defaultRevocation     = 5 * time.Second
	defaultConfig         = 3 * time.Second
)

// Check fills in defaults and returns all faults in one error.
func (g *Gateway) Check() error {
	var faults []string
	if g.Instance == "" {
		faults = append(faults, "the instance has no name")
	}
	if g.DataCentre == "" {
		faults = append(faults, "the instance has no data centre")
	}
	for _, a := range []struct{ what, address string }{
		{"callers", g.CallerListen}, {"readiness", g.ReadyListen}, {"peers", g.PeerListen}, {"the store", g.Store},
	} {
		if !isIPAddress(a.address) {
			faults = append(faults, "the address for "+a.what+" is not an IP address with a port: "+a.address)
		}
	}
	g.Grace = orDefault(g.Grace, defaultGrace)
	g.DrainBound = orDefault(g.DrainBound, defaultDrainBound)
	g.BudgetWindow = orDefault(g.BudgetWindow, defaultBudgetWindow)
	g.OrderLease = orDefault(g.OrderLease, defaultOrderLease)
	g.RevocationBound = orDefault(g.RevocationBound, defaultRevocation)
	g.ConfigDeadline = orDefault(g.ConfigDeadline, defaultConfig)
	g.ReportWindow = orDefault(g.ReportWindow, defaultReportWindow)
	g.UsageDelay = orDefault(g.UsageDelay, defaultUsageDelay)
	if !(g.Cloud.CallsPerSecond > 0) {
		g.Cloud.CallsPerSecond = defaultCallsPerSecond
	}
	if len(g.Cloud.Duties) > 0 && !isIPAddress(g.Cloud.Address) {
		faults = append(faults, "the address for duties is not an IP address with a port: "+g.Cloud.Address)
	}
	if len(faults) > 0 {
		return errors.New(strings.Join(faults, "; "))
	}
	return nil
}

// isIPAddress reports whether address is an IP address with a port.
func isIPAddress(address string) bool {
	host, _, err := net.SplitHostPort(address)
	return err == nil && net.ParseIP(host) != nil
}

func orDefault(d, fallback time.Duration) time.Duration {
	if d <= 0 {
		return fallback
	}
	return d
}
