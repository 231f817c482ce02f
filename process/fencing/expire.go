package fencing

import (
	"maps"
	"slices"
	"time"
)

// Expire drops released results past their retention, gives up the open
// sequences of senders that have been silent for SenderExpiry, and reduces
// silent senders without remaining results to their high-water marks.
func (g *Guard) Expire(now time.Time) {
	for _, s := range g.sortedSenders() {
		s.mu.Lock()
		silent := now.Sub(s.lastMessageAt) > g.limits.SenderExpiry
		if silent && !s.fenced {
			s.releaseAll(now)
		}
		g.drop(s.expire(now, g.limits.ResultRetention))
		s.mu.Unlock()
		if silent {
			g.removeIdleSender(now, s)
		}
	}
	g.evictReleased()
}

// removeIdleSender removes a silent sender that has no records and keeps only
// its high-water mark.
func (g *Guard) removeIdleSender(now time.Time, s *sender) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.open) > 0 || len(s.archive) > 0 || now.Sub(s.lastMessageAt) <= g.limits.SenderExpiry {
		return
	}
	delete(g.senders, s.entry)
	if s.fenced {
		g.fencedHighWater[s.entry] = s.highWater
	} else {
		g.retiredHighWater[s.entry] = s.highWater
	}
}

// evictReleased drops released results before the end of their retention while
// the outputs exceed MaxHeldBytes.
func (g *Guard) evictReleased() {
	for _, s := range g.sortedSenders() {
		s.mu.Lock()
		for g.heldBytes.Load() > g.limits.MaxHeldBytes && len(s.archive) > 0 {
			g.drop([]*taskRecord{s.archive[0]})
			s.archive = slices.Delete(s.archive, 0, 1)
		}
		s.mu.Unlock()
	}
}

// drop removes records from the accounting of output bytes and starts.
func (g *Guard) drop(records []*taskRecord) {
	for _, record := range records {
		g.heldBytes.Add(-int64(len(record.answer.Output)))
		g.startCounts.remove(record.id())
	}
}

// sortedSenders returns the senders in a fixed order, so that a run in virtual
// time can be repeated.
func (g *Guard) sortedSenders() []*sender {
	g.mu.RLock()
	defer g.mu.RUnlock()
	senders := make([]*sender, 0, len(g.senders))
	for _, entry := range slices.Sorted(maps.Keys(g.senders)) {
		senders = append(senders, g.senders[entry])
	}
	return senders
}
