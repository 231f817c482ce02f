package fencing

import (
	"time"

	"github.com/azurerouter/azurerouter/connection/wire"
)

// SenderDump is the state of one sender for an operator.
type SenderDump struct {
	Entry string `json:"entry"`
	// SilentMS is the time since the last message, in milliseconds.
	SilentMS int64  `json:"silent_ms"`
	Fenced   bool   `json:"fenced"`
	High     uint64 `json:"high"`
	Open     int    `json:"open"`
	Missing  int    `json:"missing"`
	Archived int    `json:"archived"`
}

// Dump returns the state of every sender that is not forgotten.
func (g *Guard) Dump(now time.Time) []SenderDump {
	var dumps []SenderDump
	for _, s := range g.snapshot() {
		s.mu.Lock()
		dumps = append(dumps, SenderDump{Entry: s.entry.String(), SilentMS: wire.Milliseconds(now.Sub(s.lastHeard)),
			Fenced: s.fenced, High: s.high, Open: len(s.starts),
			Missing: len(s.missing), Archived: len(s.archive)})
		s.mu.Unlock()
	}
	return dumps
}

// HeldBytes returns the size of the outputs kept.
func (g *Guard) HeldBytes() int64 { return g.heldBytes.Load() }

// Unreleased returns how many results entries that are not fenced still need.
func (g *Guard) Unreleased() int {
	count := 0
	for _, s := range g.snapshot() {
		s.mu.Lock()
		if !s.fenced {
			count += len(s.starts)
		}
		s.mu.Unlock()
	}
	return count
}

// Forgotten reports whether nothing but the fence is left of an entry.
func (g *Guard) Forgotten(entry wire.Incarnation) bool {
	return g.lookup(entry) == nil
}
