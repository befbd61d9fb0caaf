package mixshift

import (
	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/sched"
)

// Policies returns the policies that are compared; "full" is the product's.
func Policies() []Policy {
	return []Policy{
		{Name: "full", scheduler: core, roles: declaredRoles, planner: newRolePlanner},
		{Name: "round_robin", scheduler: baselineOf(roundRobin), roles: bestFixedRoles},
		{Name: "least_in_flight", scheduler: baselineOf(leastInFlight), roles: bestFixedRoles},
		{Name: "least_in_flight_mixed", scheduler: baselineOf(leastInFlight), roles: mixedRoles},
		{Name: "least_in_flight_threshold", scheduler: baselineOf(leastInFlight), roles: bestFixedRoles,
			planner: func(Deployment) planner { return &thresholdPlanner{} }},
	}
}

// Ablations returns variants of the product's policy, each with one mechanism
// switched off.
func Ablations() []Policy {
	off := func(name string, a sched.Ablation) Policy {
		return Policy{Name: name, scheduler: coreWith(a), roles: declaredRoles, planner: newRolePlanner}
	}
	return []Policy{
		off("no_prefix", sched.Ablation{NoPrefix: true}),
		off("no_peer_dispatch", sched.Ablation{NoPeerDispatch: true}),
		off("no_fair", sched.Ablation{NoFair: true}),
		off("no_admission", sched.Ablation{NoAdmission: true}),
		off("no_split", sched.Ablation{NoSplit: true}),
		off("no_learning", sched.Ablation{NoLearning: true}),
		off("no_slack", sched.Ablation{NoTargets: true}),
		{Name: "no_role_changes", scheduler: core, roles: declaredRoles},
	}
}

// baselineOf returns the constructor of baselines that select engines with pick.
func baselineOf(pick picker) func(int, uint64) Scheduler {
	return func(int, uint64) Scheduler { return newBaseline(pick) }
}

// core returns the product's scheduler for an instance.
func core(instance int, seed uint64) Scheduler {
	return coreWith(sched.Ablation{})(instance, seed)
}

// coreWith returns the constructor of the product's scheduler with some mechanisms
// switched off.
func coreWith(ablate sched.Ablation) func(int, uint64) Scheduler {
	return func(instance int, seed uint64) Scheduler {
		return sched.New(sched.Config{
			Instance:   fleet.InstanceID(instanceName(instance)),
			DataCentre: dataCentreName(instanceDataCentre(instance)),
			Seed:       seed*instances + uint64(instance),
			Ablation:   ablate,
		})
	}
}

func instanceName(i int) string { return "instance-" + string(rune('a'+i)) }
