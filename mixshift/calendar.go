package mixshift

import "github.com/bramleywick/bramleywick/core/fleet"

// event is one entry of the simulation's event calendar.
type event struct {
	at  fleet.Instant
	seq int64
	run func()
}

type calendar []event

func (c calendar) Len() int { return len(c) }
func (c calendar) Less(i, j int) bool {
	return c[i].at < c[j].at || c[i].at == c[j].at && c[i].seq < c[j].seq
}
func (c calendar) Swap(i, j int) { c[i], c[j] = c[j], c[i] }
func (c *calendar) Push(x any)   { *c = append(*c, x.(event)) }
func (c *calendar) Pop() any {
	old := *c
	e := old[len(old)-1]
	*c = old[:len(old)-1]
	return e
}
