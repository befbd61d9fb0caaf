// Package fair implements start-time fair queueing over weighted members.
// Service is counted in cost units and includes what members received at other
// instances.
package fair

import "github.com/bramleywick/bramleywick/core/fleet"

// Item is a queued request. The caller embeds it in its own record, so that
// Push allocates nothing.
type Item struct {
	// Member is the index of the member whose item it is.
	Member int32
	// Cost is the predicted cost, charged when the item is popped.
	Cost float64
	// Urgency orders the items of a member; higher is served first.
	Urgency int
	// StartBy is the time by which the item should start. Among items of equal
	// urgency the earlier one, which has the least slack, is served first.
	StartBy fleet.Instant
	// Index is the caller's index of the request; it also breaks ties.
	Index int32
	// heapPos is the position in the member's items, -1 after removal.
	heapPos int32
}

// member holds the weight, the account and the queued items of one member.
type member struct {
	weight float64
	// startTag is the virtual start time of the member's next item: the service
	// received so far divided by the weight. It is raised to virtual time when
	// the member becomes backlogged.
	startTag float64
	// items is a heap, the item that is served next first.
	items []*Item
	// heapPos is the position in Queue.heap, -1 if the member is not in it.
	heapPos    int32
	queuedCost float64
}

// Queue is a start-time fair queue. Operations take O(log n) time. It is not
// safe for concurrent use.
type Queue struct {
	members []member
	// heap holds the backlogged members that are not skipped, the least start
	// tag first.
	heap        []int32
	virtualTime float64
	// maxLead bounds how far a start tag may be ahead of virtual time, so that
	// service received while nobody else had work does not count against a
	// member for longer than the accounting period.
	maxLead          float64
	itemCount        int
	queuedCost       float64
	backloggedWeight float64
	skipped          []int32
}

// New returns an empty queue.
func New() *Queue { return &Queue{} }

// SetMaxLead bounds the lead of start tags over virtual time, in cost units per
// unit of weight; zero removes the bound.
func (q *Queue) SetMaxLead(lead float64) { q.maxLead = lead }

// SetWeight sets the weight of member m, adding the members up to m if they are
// new. Members are dense indices from 0.
func (q *Queue) SetWeight(m int32, weight float64) {
	for int(m) >= len(q.members) {
		q.members = append(q.members, member{heapPos: -1, weight: 1, startTag: q.virtualTime})
	}
	x := &q.members[m]
	if x.heapPos >= 0 {
		q.backloggedWeight += weight - x.weight
	}
	x.weight = weight
}

// Len returns the number of queued items.
func (q *Queue) Len() int { return q.itemCount }

// Cost returns the predicted cost of all queued items.
func (q *Queue) Cost() float64 { return q.queuedCost }

// MemberLen returns the number of queued items of member m.
func (q *Queue) MemberLen(m int32) int { return len(q.members[m].items) }

// Push adds an item to its member's queue.
func (q *Queue) Push(it *Item) {
	m := &q.members[it.Member]
	if len(m.items) == 0 {
		// A member that was idle starts at virtual time, so that it accumulates
		// no credit.
		m.startTag = max(m.startTag, q.virtualTime)
		q.backloggedWeight += m.weight
		q.pushMember(it.Member)
	}
	it.heapPos = int32(len(m.items))
	m.items = append(m.items, it)
	siftItemUp(m.items, it.heapPos)
	m.queuedCost += it.Cost
	q.itemCount++
	q.queuedCost += it.Cost
}

// Peek returns the item that is served next, or nil if there is none.
func (q *Queue) Peek() *Item {
	if len(q.heap) == 0 {
		return nil
	}
	return q.members[q.heap[0]].items[0]
}

// SkipMember excludes the member that is served next until RestoreSkipped. The
// queue must not be empty.
func (q *Queue) SkipMember() {
	m := q.heap[0]
	q.removeMember(m)
	q.skipped = append(q.skipped, m)
}

// RestoreSkipped makes the members excluded by SkipMember eligible again.
func (q *Queue) RestoreSkipped() {
	for _, m := range q.skipped {
		if len(q.members[m].items) > 0 {
			q.pushMember(m)
		}
	}
	q.skipped = q.skipped[:0]
}

// NextStartTag returns the start tag of the member that is served next; ok is
// false for an empty queue. Start tags are comparable between instances that
// exchange their service.
func (q *Queue) NextStartTag() (start float64, ok bool) {
	if len(q.heap) == 0 {
		return 0, false
	}
	return q.members[q.heap[0]].startTag, true
}

// AdvanceVirtualTime moves virtual time forward to v, the least start tag in
// the fleet, so that an instance that was idle gives its members no credit.
func (q *Queue) AdvanceVirtualTime(v float64) { q.virtualTime = max(q.virtualTime, v) }

// Pop removes the item that Peek returns and charges its cost.
func (q *Queue) Pop() *Item {
	it := q.Peek()
	if it == nil {
		return nil
	}
	q.virtualTime = max(q.virtualTime, q.members[it.Member].startTag)
	q.Remove(it)
	q.Charge(it.Member, it.Cost)
	return it
}

// Remove takes a queued item out without charging its cost.
func (q *Queue) Remove(it *Item) {
	m := &q.members[it.Member]
	last := int32(len(m.items) - 1)
	i := it.heapPos
	m.items[i] = m.items[last]
	m.items[i].heapPos = i
	m.items[last] = nil
	m.items = m.items[:last]
	if i < last {
		siftItemUp(m.items, i)
		siftItemDown(m.items, i)
	}
	it.heapPos = -1
	m.queuedCost -= it.Cost
	q.itemCount--
	q.queuedCost -= it.Cost
	if last == 0 {
		m.queuedCost = 0
		q.backloggedWeight -= m.weight
		q.removeMember(it.Member)
	}
}

// Charge adds cost to the service of member mi: for service that it received at
// another instance, or as a correction when the usage is known, which may be
// negative.
func (q *Queue) Charge(mi int32, cost float64) {
	m := &q.members[mi]
	m.startTag += cost / m.weight
	if q.maxLead > 0 {
		m.startTag = min(m.startTag, q.virtualTime+q.maxLead)
	}
	if m.heapPos >= 0 {
		q.siftDown(m.heapPos)
		q.siftUp(m.heapPos)
	}
}

// CostAhead returns the estimated cost that is served before a new item of
// member mi: the member's own queue and lead, and what the other backlogged
// members receive meanwhile by their weights. It is at most the cost of all
// queued items.
func (q *Queue) CostAhead(mi int32) float64 {
	m := &q.members[mi]
	weight := q.backloggedWeight
	if m.heapPos < 0 {
		weight += m.weight
	}
	own := m.queuedCost + max(m.startTag-q.virtualTime, 0)*m.weight
	return min(q.queuedCost, own*weight/m.weight)
}

// before reports whether a is served before b, an item of the same member.
func before(a, b *Item) bool {
	if a.Urgency != b.Urgency {
		return a.Urgency > b.Urgency
	}
	if a.StartBy != b.StartBy {
		return a.StartBy < b.StartBy
	}
	return a.Index < b.Index
}

func siftItemUp(items []*Item, i int32) {
	for i > 0 {
		p := (i - 1) / 2
		if !before(items[i], items[p]) {
			return
		}
		items[i], items[p] = items[p], items[i]
		items[i].heapPos, items[p].heapPos = i, p
		i = p
	}
}

func siftItemDown(items []*Item, i int32) {
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
		items[i].heapPos, items[c].heapPos = i, c
		i = c
	}
}

// less reports whether member a is served before member b.
func (q *Queue) less(a, b int32) bool {
	x, y := &q.members[a], &q.members[b]
	if x.startTag != y.startTag {
		return x.startTag < y.startTag
	}
	return a < b
}

func (q *Queue) swap(i, j int32) {
	q.heap[i], q.heap[j] = q.heap[j], q.heap[i]
	q.members[q.heap[i]].heapPos = i
	q.members[q.heap[j]].heapPos = j
}

func (q *Queue) siftUp(i int32) {
	for i > 0 {
		p := (i - 1) / 2
		if !q.less(q.heap[i], q.heap[p]) {
			return
		}
		q.swap(i, p)
		i = p
	}
}

func (q *Queue) siftDown(i int32) {
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
	q.members[m].heapPos = int32(len(q.heap))
	q.heap = append(q.heap, m)
	q.siftUp(q.members[m].heapPos)
}

func (q *Queue) removeMember(m int32) {
	i := q.members[m].heapPos
	last := int32(len(q.heap) - 1)
	q.swap(i, last)
	q.heap = q.heap[:last]
	q.members[m].heapPos = -1
	if i < last {
		q.siftDown(i)
		q.siftUp(i)
	}
}
