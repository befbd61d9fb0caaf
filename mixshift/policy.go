package mixshift

import (
	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/sched"
)

// Policies lists what the measurement compares; "full" is the product's.
func Policies() []Policy {
	return []Policy{
		{Name: "full", scheduler: core, roles: bestFixedRoles, planner: newRolePlanner},
		{Name: "round_robin", scheduler: baselineOf(roundRobin), roles: bestFixedRoles},
		{Name: "least_in_flight", scheduler: baselineOf(leastInFlight), roles: bestFixedRoles},
		{Name: "least_in_flight_mixed", scheduler: baselineOf(leastInFlight), roles: mixedRoles},
		{Name: "least_in_flight_threshold", scheduler: baselineOf(leastInFlight), roles: bestFixedRoles,
			planner: func(Deployment) planner { return &thresholdPlanner{} }},
	}
}

func baselineOf(pick picker) func(int, uint64) Scheduler {
	return func(int, uint64) Scheduler { return newBaseline(pick) }
}

func core(instance int, seed uint64) Scheduler {
	return sched.New(sched.Config{
		Instance:   fleet.InstanceID(instanceName(instance)),
		DataCentre: dataCentreName(instanceDataCentre(instance)),
		Seed:       seed*instances + uint64(instance),
	})
}

func instanceName(i int) string { return "instance-" + string(rune('a'+i)) }
