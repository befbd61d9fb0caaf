package node

import (
	"strings"

	"github.com/bramleywick/bramleywick/directory"
	"github.com/bramleywick/bramleywick/store"
	"github.com/bramleywick/bramleywick/takeup"
	"github.com/bramleywick/bramleywick/verdicts"
)

// keepInStore connects what has to outlast all instances with the store.
func (n *Node) keepInStore() {
	n.verdicts = verdicts.New(verdicts.Options{Store: n.store, Learn: n.state.LearnVerdict, Log: n.log, Instances: n.listedInstances})
	n.state.OnVerdict(n.verdicts.Changed)
	n.state.ClaimTrialsWith(n.verdicts.ClaimTrial)
	n.versions = takeup.New(takeup.Options{
		Store: n.store, Changes: n.state.VersionRecords, Learn: n.state.LearnVersions, Log: n.log, Instances: n.listedInstances,
	})
}

// entryChanged passes a change of an entry that instances write on to its part.
func (n *Node) entryChanged(c store.Change) {
	switch {
	case strings.HasPrefix(c.Key, directory.VerdictsPrefix):
		n.verdicts.EntryChanged(c)
	case strings.HasPrefix(c.Key, directory.VersionsPrefix):
		n.versions.EntryChanged(c)
	}
}

// listedInstances returns the number of listed instances.
func (n *Node) listedInstances() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.instances)
}
