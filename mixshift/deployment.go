// Package mixshift measures request policies in virtual time: entry instances
// running the scheduler core serve a shifting mix of requests with emulated
// engines, while an engine is withdrawn and a data centre is partitioned.
package mixshift

import (
	"fmt"
	"time"

	"github.com/bramleywick/bramleywick/core/declare"
	"github.com/bramleywick/bramleywick/core/fleet"
)

// Names used by every deployment.
const (
	groupName fleet.GroupName = "language"
)

// kindSpec is a kind of request together with its token lengths.
type kindSpec struct {
	declare.Kind
	promptMin, promptMax int // tokens, uniform
	outputMin, outputMax int // tokens, uniform
	// followUp is the part of requests that repeat an earlier prompt of the
	// same member and extend it.
	followUp float64
}

// Deployment is the shape of one users' fleet.
type Deployment struct {
	Name string
	// Speeds lists the engines' speeds; engine i is in data centre i modulo 3.
	Speeds []float64
	// Delay is the time one way between data centres.
	Delay time.Duration
	// RoleChangeWeight is the declared weight of a role change.
	RoleChangeWeight float64
	// PrefillEngines are declared to prefill at the start, the others to decode.
	// None selects the best division for the mean mix.
	PrefillEngines []int
	long, wordy    kindSpec
	short          kindSpec
}

const (
	dataCentres = 3
	instances   = 8
	members     = 30
	localDelay  = 100 * time.Microsecond
	clientDelay = time.Millisecond
	tokenGap    = 74 * time.Millisecond
)

func dataCentreName(i int) fleet.DataCentre {
	return fleet.DataCentre(fmt.Sprintf("dc-%c", 'a'+i%dataCentres))
}

// speeds repeats the speed classes of machines bought over years.
func speeds(n int) []float64 {
	classes := []float64{3, 2, 1.5, 1}
	out := make([]float64, n)
	for i := range out {
		out[i] = classes[(i/dataCentres)%len(classes)]
	}
	return out
}

func kind(name fleet.KindName, firstToken, deadline time.Duration, urgency int) declare.Kind {
	return declare.Kind{
		Name: name, Group: groupName, FirstTokenTarget: firstToken, TokenGapTarget: tokenGap,
		Deadline: deadline, Urgency: urgency, MaxPromptTokens: 200_000, MaxOutputTokens: 4000, Repeatable: true,
	}
}

// Hrafnsey has 12 engines; its long ledger requests are the urgent ones.
func Hrafnsey() Deployment {
	return Deployment{
		Name: "hrafnsey", Speeds: speeds(12), Delay: time.Millisecond, RoleChangeWeight: 3,
		// One engine can change per shift, so the declared roles lean to decode: a
		// shortage of prefill loses single requests, one of decode whole batches.
		// Every data centre has at least one for the time of a partition.
		PrefillEngines: []int{0, 9, 10, 11},
		long:           kindSpec{Kind: kind("ledger", time.Second, 20*time.Second, 10), promptMin: 8000, promptMax: 24000, outputMin: 30, outputMax: 100, followUp: 0.25},
		wordy:          kindSpec{Kind: kind("advice", 2*time.Second, 60*time.Second, 5), promptMin: 200, promptMax: 1000, outputMin: 200, outputMax: 600},
		short:          kindSpec{Kind: kind("word", 4*time.Second, 30*time.Second, 0), promptMin: 50, promptMax: 300, outputMin: 10, outputMax: 60},
	}
}

// Polegar has 18 engines; families wait at the screen for every kind.
func Polegar() Deployment {
	return Deployment{
		Name: "polegar", Speeds: speeds(18), Delay: 1400 * time.Microsecond, RoleChangeWeight: 1,
		long:  kindSpec{Kind: kind("engraving", time.Second, 30*time.Second, 5), promptMin: 6000, promptMax: 20000, outputMin: 40, outputMax: 120, followUp: 0.25},
		wordy: kindSpec{Kind: kind("proposal", time.Second, 60*time.Second, 5), promptMin: 400, promptMax: 1200, outputMin: 300, outputMax: 800},
		short: kindSpec{Kind: kind("caption", time.Second, 15*time.Second, 5), promptMin: 100, promptMax: 500, outputMin: 10, outputMax: 50},
	}
}

func (d Deployment) kinds() []kindSpec { return []kindSpec{d.long, d.wordy, d.short} }

func engineID(i int) fleet.UpstreamID { return fleet.UpstreamID(fmt.Sprintf("engine-%02d", i)) }

func memberID(i int) fleet.MemberID { return fleet.MemberID(fmt.Sprintf("member-%02d", i)) }

// instanceDataCentre spreads eight instances as 3, 3 and 2.
func instanceDataCentre(i int) int { return i % dataCentres }

// declaration states the deployment with the given roles at the start.
func (d Deployment) declaration(roles []fleet.Role, shares []float64) *declare.Declaration {
	out := &declare.Declaration{}
	var granted []fleet.KindName
	for _, k := range d.kinds() {
		out.Kinds = append(out.Kinds, k.Kind)
		granted = append(granted, k.Name)
	}
	for i, share := range shares {
		out.Members = append(out.Members, declare.Member{ID: memberID(i), Share: share, Kinds: granted})
	}
	out.Groups = []declare.Group{{Name: groupName, Type: declare.GroupEngine, RoleChangeWeight: d.RoleChangeWeight}}
	for i := range d.Speeds {
		out.Upstreams = append(out.Upstreams, declare.Upstream{
			ID: engineID(i), Group: groupName, DataCentre: dataCentreName(i), Role: roles[i], Speed: d.Speeds[i],
		})
	}
	return out
}
