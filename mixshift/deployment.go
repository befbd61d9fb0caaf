// Package mixshift simulates scheduling policies in virtual time. Entry instances
// running the scheduler core serve a shifting mix of requests with emulated engines,
// while an engine is withdrawn and a data centre is partitioned from the others.
package mixshift

import (
	"fmt"
	"time"

	"github.com/bramleywick/bramleywick/core/declare"
	"github.com/bramleywick/bramleywick/core/fleet"
)

// groupName is the name of the engine group of every deployment.
const (
	groupName fleet.GroupName = "language"
)

// kindSpec is a kind of request with the distribution of its lengths.
type kindSpec struct {
	declare.Kind
	promptMin, promptMax int // tokens, uniform
	outputMin, outputMax int // tokens, uniform
	// followUp is the fraction of requests that extend an earlier prompt of the
	// same member.
	followUp float64
}

// Deployment is the engine fleet of one user and the kinds of its requests.
type Deployment struct {
	Name string
	// Speeds lists the engines' speeds; engine i is in data centre i modulo 3.
	Speeds []float64
	// Delay is the one-way network delay between data centres.
	Delay time.Duration
	// RoleChangeWeight is the declared weight of a role change.
	RoleChangeWeight float64
	// PrefillEngines are the engines with the declared role prefill; the others
	// have the role decode. If it is empty, the best roles for the mean mix are
	// used.
	PrefillEngines         []int
	longPrompt, longOutput kindSpec
	short                  kindSpec
}

const (
	dataCentres = 3
	instances   = 8
	members     = 30
	localDelay  = 100 * time.Microsecond // one way, within a data centre
	clientDelay = time.Millisecond       // one way, between a caller and its instance
	tokenGap    = 74 * time.Millisecond  // target of every kind
)

func dataCentreName(i int) fleet.DataCentre {
	return fleet.DataCentre(fmt.Sprintf("dc-%c", 'a'+i%dataCentres))
}

// speeds returns the speeds of n engines. Each data centre has engines of several
// speed classes, as from machines of different age.
func speeds(n int) []float64 {
	classes := []float64{3, 2, 1.5, 1}
	out := make([]float64, n)
	for i := range out {
		out[i] = classes[(i/dataCentres)%len(classes)]
	}
	return out
}

// kind returns a kind of request with the given targets and the limits common to all.
func kind(name fleet.KindName, firstToken, deadline time.Duration, urgency int) declare.Kind {
	return declare.Kind{
		Name: name, Group: groupName, FirstTokenTarget: firstToken, TokenGapTarget: tokenGap,
		Deadline: deadline, Urgency: urgency, MaxPromptTokens: 200_000, MaxOutputTokens: 4000, Repeatable: true,
	}
}

// Hrafnsey returns a deployment with 12 engines, whose requests with long prompts
// are the most urgent.
func Hrafnsey() Deployment {
	return Deployment{
		Name: "hrafnsey", Speeds: speeds(12), Delay: time.Millisecond, RoleChangeWeight: 3,
		// One engine can change its role per shift of the mix, so the declared
		// roles favour decode: a shortage of prefill makes single requests refused
		// or late, a shortage of decode makes whole batches late. Every data centre
		// has at least one prefill engine for the time of a partition.
		PrefillEngines: []int{0, 9, 10, 11},
		longPrompt:     kindSpec{Kind: kind("ledger", time.Second, 20*time.Second, 10), promptMin: 8000, promptMax: 24000, outputMin: 30, outputMax: 100, followUp: 0.25},
		longOutput:     kindSpec{Kind: kind("advice", 2*time.Second, 60*time.Second, 5), promptMin: 200, promptMax: 1000, outputMin: 200, outputMax: 600},
		short:          kindSpec{Kind: kind("word", 4*time.Second, 30*time.Second, 0), promptMin: 50, promptMax: 300, outputMin: 10, outputMax: 60},
	}
}

// Polegar returns a deployment with 18 engines, whose kinds are all interactive and
// equally urgent.
func Polegar() Deployment {
	return Deployment{
		Name: "polegar", Speeds: speeds(18), Delay: 1400 * time.Microsecond, RoleChangeWeight: 1,
		longPrompt: kindSpec{Kind: kind("engraving", time.Second, 30*time.Second, 5), promptMin: 6000, promptMax: 20000, outputMin: 40, outputMax: 120, followUp: 0.25},
		longOutput: kindSpec{Kind: kind("proposal", time.Second, 60*time.Second, 5), promptMin: 400, promptMax: 1200, outputMin: 300, outputMax: 800},
		short:      kindSpec{Kind: kind("caption", time.Second, 15*time.Second, 5), promptMin: 100, promptMax: 500, outputMin: 10, outputMax: 50},
	}
}

func (d Deployment) kinds() []kindSpec { return []kindSpec{d.longPrompt, d.longOutput, d.short} }

func engineID(i int) fleet.UpstreamID { return fleet.UpstreamID(fmt.Sprintf("engine-%02d", i)) }

func memberID(i int) fleet.MemberID { return fleet.MemberID(fmt.Sprintf("member-%02d", i)) }

// instanceDataCentre returns the data centre of an instance. The eight instances are
// spread as 3, 3 and 2.
func instanceDataCentre(i int) int { return i % dataCentres }

// declaration returns the declaration of the deployment with the given engine roles
// and member shares.
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
