// Package bench compares scheduling policies in virtual time: one event queue,
// a small model of agents and targets, and an arrival generator around the
// real scheduler code.
package bench

import (
	"container/heap"
	"time"
)

// epoch is the start of the virtual clock; its value has no meaning.
var epoch = time.Unix(1_000_000, 0)

// sim is an event queue with a virtual clock. Events of the same time run in the
// order in which they were added.
type sim struct {
	now          time.Duration
	events       eventHeap
	lastSequence uint64 // sequence of the event added last
}

// event is a function that runs at a virtual time. sequence orders events of the
// same time.
type event struct {
	at       time.Duration
	sequence uint64
	run      func()
}

// at adds an event at a virtual time, counted from the start of the run.
func (s *sim) at(t time.Duration, run func()) {
	s.lastSequence++
	heap.Push(&s.events, event{at: t, sequence: s.lastSequence, run: run})
}

// after adds an event that runs when d has passed.
func (s *sim) after(d time.Duration, run func()) { s.at(s.now+d, run) }

// clock returns the virtual time as the scheduler sees it.
func (s *sim) clock() time.Time { return epoch.Add(s.now) }

// runUntil runs events in order of time until done returns true or no event is
// left.
func (s *sim) runUntil(done func() bool) {
	for len(s.events) > 0 && !done() {
		next := heap.Pop(&s.events).(event)
		s.now = next.at
		next.run()
	}
}

// eventHeap implements heap.Interface with the earliest event first.
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].sequence < h[j].sequence
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = event{}
	*h = (*h)[:last]
	return e
}
