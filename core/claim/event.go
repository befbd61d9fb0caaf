package claim

// Event is an input of the state machine.
type Event interface{ isEvent() }

type (
	// Start begins the claim.
	Start struct{}
	// Written answers Write.
	Written struct{ Revision int64 }
	// Conflict answers Write if the revision was not current.
	Conflict struct{}
	// Unavailable answers a Write, Read or Watch that certainly had no effect.
	Unavailable struct{}
	// Unknown answers a Write that may have taken effect.
	Unknown struct{}
	// Found answers Read and Watch. Revision is 0 if the key is absent.
	Found struct {
		Record   Record
		Revision int64
	}
	// NotSent ends the run: no byte of the call reached an upstream.
	NotSent struct{}
	// Answered ends the run with the upstream's answer.
	Answered struct{ Answer Answer }
	// AnswerLost ends the run without an answer.
	AnswerLost struct{}
)

func (Start) isEvent()       {}
func (Written) isEvent()     {}
func (Conflict) isEvent()    {}
func (Unavailable) isEvent() {}
func (Unknown) isEvent()     {}
func (Found) isEvent()       {}
func (NotSent) isEvent()     {}
func (Answered) isEvent()    {}
func (AnswerLost) isEvent()  {}
