package placement

import (
	"math"
	"time"

	"github.com/bramleywick/bramleywick/core/call"
	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/membership"
	"github.com/bramleywick/bramleywick/core/routes"
)

const (
	// decodeReadFactor is how much slower an engine at the decode stage reads.
	decodeReadFactor = 2.0
	// acrossCentres is how much longer a transfer between data centres takes.
	acrossCentres = 2
	// besideCost is what a read beside running answers costs these, whatever its
	// length, and besideShare the part of its time by which each is delayed: it
	// waits while a piece is read before each of its events.
	besideCost  = 30 * time.Millisecond
	besideShare = 0.3
)

func isPrefill(s *server) bool { return s.Stage == fleet.RolePrefill }
func isDecode(s *server) bool  { return s.Stage == fleet.RoleDecode }

// sharedPart returns the longest part that other requests have in common with
// this one, and the tokens up to its end; "" when there is none.
func sharedPart(r *call.Request) (id string, tokens float64) {
	longest := 0
	upTo := 0
	for i, p := range r.Parts {
		if i == len(r.Parts)-1 && i > 0 {
			break
		}
		upTo += p.Tokens
		if p.Tokens > longest {
			id, tokens, longest = p.ID, float64(upTo), p.Tokens
		}
	}
	return id, tokens
}

// speedStep is the ratio between two weights of engines as homes, so that
// instances with slightly different measurements agree.
const speedStep = 1.35

// homeWeight is the weight of an engine of a speed as a home.
func homeWeight(speed float64) float64 {
	return math.Pow(speedStep, math.Round(math.Log(speed)/math.Log(speedStep)))
}

// home returns the engine that a part is assigned to, the same on every instance
// that knows the same engines and speeds. Each engine gets parts in proportion
// to its speed (weighted rendezvous hash).
func home(part string, list []*server) *server {
	var best *server
	bestScore := math.Inf(1)
	for _, s := range list {
		uniform := (float64(membership.Hash(part, string(s.ID))>>11) + 0.5) / (1 << 53)
		if score := -math.Log(uniform) / s.weight; score < bestScore {
			best, bestScore = s, score
		}
	}
	return best
}

func ms(tokens, speed float64) time.Duration {
	return time.Duration(tokens / speed * float64(time.Millisecond))
}

// between is the time of a transfer between two data centres that takes nominal
// within one.
func between(nominal time.Duration, from, to fleet.DataCentre) time.Duration {
	if from != to {
		return acrossCentres * nominal
	}
	return nominal
}

// transferTime is the time to move KV cache of some tokens within a data centre;
// ok is false where the service does not declare what a transfer takes.
func (f *Fleet) transferTime(group fleet.GroupName, tokens float64) (took time.Duration, ok bool) {
	if f.table == nil {
		return 0, false
	}
	service := f.table.Service(group)
	if service == nil || service.Engine == nil || service.Engine.LinkBytesPerSecond <= 0 {
		return 0, false
	}
	bytes := tokens * service.Engine.KVBytesPerToken
	return time.Duration(bytes / service.Engine.LinkBytesPerSecond * float64(time.Second)), true
}

// ChooseEngines chooses an engine for each way to read a prompt: at the prefill stage,
// apart from the answer, or at the engine that makes the answer. split tells that
// the first way is taken: whenever it is open and the transfer takes no longer than
// the read beside running answers takes more, which delays these. ForAnswer of the
// first way counts the wait for the answer's first event, so that a request whose
// answer cannot be made in time is refused before it is read. direct is not looked
// for, and has no candidates, where the transfer is short.
func (f *Fleet) ChooseEngines(group fleet.GroupName, r *call.Request, now fleet.Instant, skip []fleet.UpstreamID) (apart, direct Choice, split bool) {
	apart, split = f.ChoosePrefill(group, r, now, skip)
	answer, ok := f.ChooseDecode(group, r, apart.Server, now, skip)
	if split && ok {
		apart.DecodeWait, apart.DecodeQueue, apart.Transfer = answer.Wait, answer.Queue, answer.Transfer
		if apart.Transfer <= besideCost {
			return apart, Choice{}, true
		}
	}
	direct, _ = f.ChooseDirect(group, r, now, skip)
	// Without an engine that makes the answer the prompt would be read in vain.
	return apart, direct, split && ok && !f.dearer(apart, direct, now)
}

// dearer tells that handing a prompt over takes longer than reading it beside
// answers costs, and that its first event comes sooner that way.
func (f *Fleet) dearer(apart, direct Choice, now fleet.Instant) bool {
	s := f.servers[direct.Server.ID]
	if s == nil {
		return false
	}
	read := direct.Wait - direct.Queue
	extra := read - (apart.Wait - apart.Queue)
	beside := besideCost + time.Duration(besideShare*float64(s.work(now).Runs)*float64(read))
	return apart.Transfer > extra+beside && direct.Wait+beside < apart.Wait+apart.DecodeWait
}

// Engines returns the engines of a service, for the plan of the stages.
func (f *Fleet) Engines(service *routes.Service) []Server {
	var out []Server
	for _, s := range f.groups[service.Name] {
		out = append(out, s.Server)
	}
	return out
}
