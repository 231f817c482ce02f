package fencing

import (
	"time"

	"github.com/azurerouter/azurerouter/connection/wire"
)

// SenderDump is the state of one sender as shown to operators.
type SenderDump struct {
	Entry string `json:"entry"`
	// SilentMS is the time since the last message, in milliseconds.
	SilentMS int64 `json:"silent_ms"`
	Fenced   bool  `json:"fenced"`
	// High is the high-water mark of the sequences.
	High uint64 `json:"high"`
	// Open counts the sequences that have arrived and are not settled.
	Open int `json:"open"`
	// Missing counts the sequences up to High that have not arrived and that
	// the entry has not given up.
	Missing int `json:"missing"`
	// Archived counts the settled tasks whose results are still kept.
	Archived int `json:"archived"`
}

// Dump returns the state of every sender of which more than the high-water mark
// is kept.
func (g *Guard) Dump(now time.Time) []SenderDump {
	var dumps []SenderDump
	for _, s := range g.sortedSenders() {
		s.mu.Lock()
		dumps = append(dumps, SenderDump{Entry: s.entry.String(), SilentMS: wire.Milliseconds(now.Sub(s.lastMessageAt)),
			Fenced: s.fenced, High: s.highWater, Open: len(s.open),
			Missing: len(s.missing), Archived: len(s.archive)})
		s.mu.Unlock()
	}
	return dumps
}

// HeldBytes returns the total size of the task outputs that are kept, in bytes.
func (g *Guard) HeldBytes() int64 { return g.heldBytes.Load() }

// UnreleasedCount returns the number of open sequences of entries that are not
// fenced, which includes running tasks and results that these entries have not
// released.
func (g *Guard) UnreleasedCount() int {
	count := 0
	for _, s := range g.sortedSenders() {
		s.mu.Lock()
		if !s.fenced {
			count += len(s.open)
		}
		s.mu.Unlock()
	}
	return count
}

// SenderRemoved reports whether at most a high-water mark is kept of an entry.
func (g *Guard) SenderRemoved(entry wire.Incarnation) bool {
	return g.lookup(entry) == nil
}
