package claim_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/bramleywick/bramleywick/core/claim"
	"github.com/bramleywick/bramleywick/core/fleet"
)

// TestMain fixes rapid's seed so that every run checks the same sequences.
func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "20000")
	os.Exit(m.Run())
}

// call is one request with the shared key at some instance.
type call struct {
	machine *claim.Machine
	attempt string
	hash    string
	pending claim.Command
	// inTransit reports whether the call may still reach the upstream.
	inTransit bool
	refused   *fleet.Refusal
	replayed  *claim.Answer
	ran       bool
}

// world models the platform's key and the upstream.
type world struct {
	record        claim.Record
	revision      int64
	delayedWrites []claim.Write
	platformDown  bool
	calls         []*call
	runs          int
	first         *call
	steps         int
	replays       int
}

func (w *world) startCall(hash string) {
	c := &call{attempt: fmt.Sprint("a", len(w.calls)), hash: hash}
	c.machine = claim.New(claim.Config{Attempt: c.attempt, BodyHash: hash, Wait: time.Second})
	w.calls = append(w.calls, c)
	w.feed(c, claim.Start{})
}

func (w *world) feed(c *call, ev claim.Event) {
	c.pending = nil
	c.machine.Step(0, ev)
	for _, out := range c.machine.Ready() {
		switch out := out.(type) {
		case claim.Refuse:
			c.refused = out.Refusal
		case claim.Replay:
			c.replayed = &out.Answer
			w.replays++
		case claim.Finish:
		default:
			c.pending = out
		}
	}
}

func (w *world) swap(c claim.Write) bool {
	if c.Revision != w.revision {
		return false
	}
	w.revision++
	w.record = c.Record
	return true
}

// perform runs the pending command. Fault 1 loses the answer, 2 delays a write,
// 3 refuses the call.
func (w *world) perform(c *call, fault int) {
	switch cmd := c.pending.(type) {
	case claim.Write:
		switch {
		case w.platformDown || fault == 3:
			w.feed(c, claim.Unavailable{})
		case fault == 2:
			w.delayedWrites = append(w.delayedWrites, cmd)
			w.feed(c, claim.Unknown{})
		case !w.swap(cmd):
			w.feed(c, claim.Conflict{})
		case fault == 1:
			w.feed(c, claim.Unknown{})
		default:
			w.feed(c, claim.Written{Revision: w.revision})
		}
	case claim.Read, claim.Watch:
		if w.platformDown || fault > 0 {
			w.feed(c, claim.Unavailable{})
			return
		}
		w.feed(c, claim.Found{Record: w.record, Revision: w.revision})
	case claim.Run:
		w.run(c, fault)
	}
}

func (w *world) run(c *call, fault int) {
	switch fault {
	case 0:
		w.execute(c)
		w.feed(c, claim.Answered{Answer: claim.Answer{Status: 200, Body: []byte(c.attempt)}})
	case 1:
		w.execute(c)
		w.feed(c, claim.AnswerLost{})
	case 2:
		c.inTransit = true
		w.feed(c, claim.AnswerLost{})
	case 3:
		w.feed(c, claim.NotSent{})
	}
}

func (w *world) execute(c *call) {
	c.ran = true
	w.runs++
	if w.first == nil {
		w.first = c
	}
}

func (w *world) check() error {
	if w.runs > 1 {
		return fmt.Errorf("the call ran %d times", w.runs)
	}
	for _, c := range w.calls {
		if c.refused != nil && c.refused.Outcome == fleet.OutcomeNotRun && c.ran {
			return fmt.Errorf("%s was refused as not run and ran: %v", c.attempt, c.refused)
		}
		if c.replayed != nil && (w.first == nil || string(c.replayed.Body) != w.first.attempt) {
			return fmt.Errorf("%s was given another answer than the first call's", c.attempt)
		}
		if c.replayed != nil && c.hash != w.first.hash {
			return fmt.Errorf("%s was given the answer to a different call", c.attempt)
		}
		if c.ran && c.hash != w.first.hash {
			return fmt.Errorf("a different call ran under the key")
		}
	}
	return nil
}

func (w *world) applyRandomEvent(pick func(n int) int) error {
	w.steps++
	kind := pick(16)
	switch {
	case kind == 0 && len(w.calls) < 6:
		w.startCall([]string{"h", "h", "h", "other"}[pick(4)])
	case kind == 1 && len(w.delayedWrites) > 0:
		i := pick(len(w.delayedWrites))
		w.swap(w.delayedWrites[i])
		w.delayedWrites = append(w.delayedWrites[:i:i], w.delayedWrites[i+1:]...)
	case kind == 2:
		w.platformDown = !w.platformDown && pick(3) == 0
	case len(w.calls) == 0:
	case kind == 3: // the instance is killed; what it sent may still arrive
		c := w.calls[pick(len(w.calls))]
		_, sending := c.pending.(claim.Run)
		c.inTransit = c.inTransit || sending && pick(2) == 0
		if write, ok := c.pending.(claim.Write); ok && pick(2) == 0 {
			w.delayedWrites = append(w.delayedWrites, write)
		}
		c.pending = nil
	case kind == 4: // a call whose answer was lost reaches the upstream late
		if c := w.calls[pick(len(w.calls))]; c.inTransit {
			c.inTransit = false
			w.execute(c)
		}
	default:
		c := w.calls[pick(len(w.calls))]
		fault := 0
		if kind >= 13 {
			fault = 1 + pick(3)
		}
		w.perform(c, fault)
	}
	return w.check()
}

// TestAtMostOnce guards against running a call twice under one key and against
// a false "not run". It covers up to six calls at several instances, kills
// between any two steps, lost and delayed writes, outages and delayed
// deliveries.
func TestAtMostOnce(t *testing.T) {
	var steps, runs, replays int
	rapid.Check(t, func(t *rapid.T) {
		w := &world{}
		for range rapid.IntRange(20, 200).Draw(t, "steps") {
			if err := w.applyRandomEvent(func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "pick") }); err != nil {
				t.Fatal(err)
			}
		}
		steps, runs, replays = steps+w.steps, runs+w.runs, replays+w.replays
	})
	t.Logf("%d steps, %d calls ran, %d answers replayed", steps, runs, replays)
	if runs == 0 || replays == 0 {
		t.Fatal("the model never ran or never replayed a call")
	}
}

// TestKeyAgeIsCheckedAfterTheClaim guards against a delayed duplicate that is
// claimed again after the claim of the first call was removed.
func TestKeyAgeIsCheckedAfterTheClaim(t *testing.T) {
	m := claim.New(claim.Config{Attempt: "a", BodyHash: "h", SendBefore: time.Hour})
	m.Step(time.Hour-1, claim.Start{})
	m.Ready()
	m.Step(time.Hour, claim.Written{Revision: 1})
	out := m.Ready()
	if refuse, ok := out[0].(claim.Refuse); !ok || refuse.Refusal.Outcome != fleet.OutcomeNotRun {
		t.Fatalf("got %+v", out)
	}
}

// TestKeys guards against misreading the age of a key.
func TestKeys(t *testing.T) {
	at, ok := claim.CreatedAt("017f22e2-79b0-7cc3-98c4-dc0c0c07398f")
	if !ok || at.UnixMilli() != 0x017f22e279b0 {
		t.Fatalf("got %v %v", at, ok)
	}
	for _, key := range []string{"payout-17", "017f22e2-79b0-4cc3-98c4-dc0c0c07398f", "017f22e2x79b0x7cc3x98c4xdc0c0c07398f"} {
		if _, ok := claim.CreatedAt(key); ok {
			t.Errorf("%s is taken for a key with a time", key)
		}
	}
	if claim.ValidKey("") || claim.ValidKey("a b") || claim.ValidKey(string(make([]byte, 129))) || !claim.ValidKey("payout-17/a") {
		t.Error("keys are not checked")
	}
}
