// Package bench compares scheduling policies in virtual time: one event queue,
// a small model of agents and targets, and an arrival generator around the
// real scheduler code.
package bench

import (
	"container/heap"
	"time"
)

// epoch is the virtual time at which every run starts.
var epoch = time.Unix(1_000_000, 0)

// sim is an event queue in virtual time. Events at the same time run in the
// order in which they were added.
type sim struct {
	now    time.Duration
	events eventHeap
	added  uint64
}

type event struct {
	at    time.Duration
	order uint64
	run   func()
}

func (s *sim) at(t time.Duration, run func()) {
	s.added++
	heap.Push(&s.events, event{at: t, order: s.added, run: run})
}

func (s *sim) after(d time.Duration, run func()) { s.at(s.now+d, run) }

func (s *sim) clock() time.Time { return epoch.Add(s.now) }

// runUntil runs events until done reports true or none is left.
func (s *sim) runUntil(done func() bool) {
	for len(s.events) > 0 && !done() {
		next := heap.Pop(&s.events).(event)
		s.now = next.at
		next.run()
	}
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].order < h[j].order
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
