package main

import "time"

// smallBounds are those of the sheets of the first sites, grownBounds those of
// the grown ones.
var (
	smallBounds = bounds{Stable: 3 * time.Second, Drain: 2 * time.Second, Config: 2 * time.Second, Grace: 8 * time.Second, BudgetSlack: 56}
	grownBounds = bounds{Stable: 4 * time.Second, Drain: 3 * time.Second, Config: 3 * time.Second, Grace: 8 * time.Second, BudgetSlack: 216}
)

const (
	// host is the host of all routes, and zone the zone of the machines.
	host = "h.example"
	zone = "selfoss-a"
	// cutTime is how long a machine is cut off from the store.
	cutTime = 5500 * time.Millisecond
)

// readRoute is the route of safe requests to the plain service.
func readRoute(name, prefix string) route {
	return route{
		Name: name, Host: host, Prefix: prefix, Kind: "safe", Service: "members-app", TimeoutMs: 800, TargetMs: 150, Priority: 2, Attempts: 2,
	}
}
