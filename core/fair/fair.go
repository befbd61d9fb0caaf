// Package fair is a start-time fair queue over members with weights. Service
// is counted in cost units; virtual time includes service that members
// received at other instances.
package fair

import "github.com/bramleywick/bramleywick/core/fleet"

// Item is one queued request. It is embedded in the owner's record so that a
// push allocates nothing.
type Item struct {
	Member int32
	// Cost is the predicted cost, charged when the item is popped.
	Cost float64
	// Urgency orders items of one member; higher goes first.
	Urgency int
	// StartBy is the time by which the item should start; earlier goes first among
	// equal urgency. The order by Due is the order by slack.
	StartBy fleet.Instant
	// Index is the queue owner's index of the request.
	Index int32
	pos   int32
}

type member struct {
	weight float64
	// start is the virtual start tag of the member's next item: the service
	// received so far divided by the weight, never behind virtual time when
	// the member becomes backlogged.
	start float64
	items []*Item
	pos   int32
	cost  float64
}

// Queue is a fair queue. Operations are O(log n).
type Queue struct {
	members []member
	heap    []int32
	virtual float64
	// maxLead bounds how far a start tag may run ahead of virtual time, so
	// that service lent while nobody else had work is not held against a
	// member for longer than the accounting period.
	maxLead        float64
	items          int
	cost           float64
	backloggedSize float64
	aside          []int32
}

// New returns an empty queue.
func New() *Queue { return &Queue{} }

// SetMaxLead bounds the lead of a member over virtual time; zero removes the
// bound. It is in cost units per unit of weight.
func (q *Queue) SetMaxLead(lead float64) { q.maxLead = lead }

// SetWeight declares a member; members are dense indices.
func (q *Queue) SetWeight(m int32, weight float64) {
	for int(m) >= len(q.members) {
		q.members = append(q.members, member{pos: -1, weight: 1, start: q.virtual})
	}
	x := &q.members[m]
	if x.pos >= 0 {
		q.backloggedSize += weight - x.weight
	}
	x.weight = weight
}

// Len returns the number of queued items, Cost their predicted cost.
func (q *Queue) Len() int { return q.items }

// Cost returns the predicted cost of all queued items.
func (q *Queue) Cost() float64 { return q.cost }

// MemberLen returns the number of queued items of a member.
func (q *Queue) MemberLen(m int32) int { return len(q.members[m].items) }

// Push queues an item.
func (q *Queue) Push(it *Item) {
	m := &q.members[it.Member]
	if len(m.items) == 0 {
		// An idle member starts at virtual time: it saves up no credit.
		m.start = max(m.start, q.virtual)
		q.backloggedSize += m.weight
		q.pushMember(it.Member)
	}
	it.pos = int32(len(m.items))
	m.items = append(m.items, it)
	itemUp(m.items, it.pos)
	m.cost += it.Cost
	q.items++
	q.cost += it.Cost
}

// Peek returns the item whose turn it is, or nil.
func (q *Queue) Peek() *Item {
	if len(q.heap) == 0 {
		return nil
	}
	return q.members[q.heap[0]].items[0]
}

// SkipMember sets the member whose turn it is aside until Restore.
func (q *Queue) SkipMember() {
	m := q.heap[0]
	q.removeMember(m)
	q.aside = append(q.aside, m)
}

// RestoreSkipped puts the members that were set aside back.
func (q *Queue) RestoreSkipped() {
	for _, m := range q.aside {
		if len(q.members[m].items) > 0 {
			q.pushMember(m)
		}
	}
	q.aside = q.aside[:0]
}

// NextStartTag returns the start tag of the member whose turn it is; ok is false for an
// empty queue. Start tags of instances that exchange service are comparable.
func (q *Queue) NextStartTag() (start float64, ok bool) {
	if len(q.heap) == 0 {
		return 0, false
	}
	return q.members[q.heap[0]].start, true
}

// AdvanceVirtualTime moves virtual time forward to v, the least start tag of the fleet,
// so that an instance that was idle gives its members no credit.
func (q *Queue) AdvanceVirtualTime(v float64) { q.virtual = max(q.virtual, v) }

// Pop removes the item that Peek returns and charges its cost.
func (q *Queue) Pop() *Item {
	it := q.Peek()
	if it == nil {
		return nil
	}
	q.virtual = max(q.virtual, q.members[it.Member].start)
	q.Remove(it)
	q.Charge(it.Member, it.Cost)
	return it
}

// Remove takes an item out without a charge.
func (q *Queue) Remove(it *Item) {
	m := &q.members[it.Member]
	last := int32(len(m.items) - 1)
	i := it.pos
	m.items[i] = m.items[last]
	m.items[i].pos = i
	m.items[last] = nil
	m.items = m.items[:last]
	if i < last {
		itemUp(m.items, i)
		itemDown(m.items, i)
	}
	it.pos = -1
	m.cost -= it.Cost
	q.items--
	q.cost -= it.Cost
	if last == 0 {
		m.cost = 0
		q.backloggedSize -= m.weight
		q.removeMember(it.Member)
	}
}

// Charge adds service to a member's account: at a pop, as a correction when
// the real usage is known (possibly negative), or for service that the member
// received at another instance.
func (q *Queue) Charge(mi int32, cost float64) {
	m := &q.members[mi]
	m.start += cost / m.weight
	if q.maxLead > 0 {
		m.start = min(m.start, q.virtual+q.maxLead)
	}
	if m.pos >= 0 {
		q.down(m.pos)
		q.up(m.pos)
	}
}

// CostAhead returns the cost that is served before a new item of a member:
// every backlogged member's queue up to the point that its weight allows.
// It is bounded by the whole queue.
func (q *Queue) CostAhead(mi int32) float64 {
	m := &q.members[mi]
	weight := q.backloggedSize
	if m.pos < 0 {
		weight += m.weight
	}
	own := m.cost + max(m.start-q.virtual, 0)*m.weight
	return min(q.cost, own*weight/m.weight)
}

func before(a, b *Item) bool {
	if a.Urgency != b.Urgency {
		return a.Urgency > b.Urgency
	}
	if a.StartBy != b.StartBy {
		return a.StartBy < b.StartBy
	}
	return a.Index < b.Index
}

func itemUp(items []*Item, i int32) {
	for i > 0 {
		p := (i - 1) / 2
		if !before(items[i], items[p]) {
			return
		}
		items[i], items[p] = items[p], items[i]
		items[i].pos, items[p].pos = i, p
		i = p
	}
}

func itemDown(items []*Item, i int32) {
	n := int32(len(items))
	for {
		c := 2*i + 1
		if c >= n {
			return
		}
		if c+1 < n && before(items[c+1], items[c]) {
			c++
		}
		if !before(items[c], items[i]) {
			return
		}
		items[i], items[c] = items[c], items[i]
		items[i].pos, items[c].pos = i, c
		i = c
	}
}

func (q *Queue) less(a, b int32) bool {
	x, y := &q.members[a], &q.members[b]
	if x.start != y.start {
		return x.start < y.start
	}
	return a < b
}

func (q *Queue) swap(i, j int32) {
	q.heap[i], q.heap[j] = q.heap[j], q.heap[i]
	q.members[q.heap[i]].pos = i
	q.members[q.heap[j]].pos = j
}

func (q *Queue) up(i int32) {
	for i > 0 {
		p := (i - 1) / 2
		if !q.less(q.heap[i], q.heap[p]) {
			return
		}
		q.swap(i, p)
		i = p
	}
}

func (q *Queue) down(i int32) {
	n := int32(len(q.heap))
	for {
		c := 2*i + 1
		if c >= n {
			return
		}
		if c+1 < n && q.less(q.heap[c+1], q.heap[c]) {
			c++
		}
		if !q.less(q.heap[c], q.heap[i]) {
			return
		}
		q.swap(i, c)
		i = c
	}
}

func (q *Queue) pushMember(m int32) {
	q.members[m].pos = int32(len(q.heap))
	q.heap = append(q.heap, m)
	q.up(q.members[m].pos)
}

func (q *Queue) removeMember(m int32) {
	i := q.members[m].pos
	last := int32(len(q.heap) - 1)
	q.swap(i, last)
	q.heap = q.heap[:last]
	q.members[m].pos = -1
	if i < last {
		q.down(i)
		q.up(i)
	}
}
