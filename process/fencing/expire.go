package fencing

import (
	"maps"
	"slices"
	"time"
)

// Expire drops released results past their retention, gives up what senders
// silent for SenderExpiry left open, and reduces those that hold nothing more
// to one number.
func (g *Guard) Expire(now time.Time) {
	for _, s := range g.snapshot() {
		s.mu.Lock()
		silent := now.Sub(s.lastHeard) > g.limits.SenderExpiry
		if silent && !s.fenced {
			s.retire(now)
		}
		g.drop(s.expire(now, g.limits.ResultRetention))
		s.mu.Unlock()
		if silent {
			g.reduce(now, s)
		}
	}
	g.evictReleased()
}

// reduce keeps only the high-water mark of a sender that holds nothing.
func (g *Guard) reduce(now time.Time, s *sender) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.starts) > 0 || len(s.archive) > 0 || now.Sub(s.lastHeard) <= g.limits.SenderExpiry {
		return
	}
	delete(g.senders, s.entry)
	if s.fenced {
		g.fenced[s.entry] = s.high
	} else {
		g.retired[s.entry] = s.high
	}
}

// evictReleased keeps the outputs within HeldBytes by dropping released results
// early.
func (g *Guard) evictReleased() {
	for _, s := range g.snapshot() {
		s.mu.Lock()
		for g.heldBytes.Load() > g.limits.HeldBytes && len(s.archive) > 0 {
			g.drop([]*start{s.archive[0]})
			s.archive = slices.Delete(s.archive, 0, 1)
		}
		s.mu.Unlock()
	}
}

func (g *Guard) drop(starts []*start) {
	for _, start := range starts {
		g.heldBytes.Add(-int64(len(start.answer.Output)))
		g.started.remove(start.id())
	}
}

// snapshot lists the senders in a fixed order, so that a run in virtual time can
// be repeated.
func (g *Guard) snapshot() []*sender {
	g.mu.RLock()
	defer g.mu.RUnlock()
	senders := make([]*sender, 0, len(g.senders))
	for _, entry := range slices.Sorted(maps.Keys(g.senders)) {
		senders = append(senders, g.senders[entry])
	}
	return senders
}
