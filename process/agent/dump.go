package agent

import (
	"maps"
	"slices"

	"github.com/azurerouter/azurerouter/process/fencing"
)

// Dump is the state of an agent as shown to operators.
type Dump struct {
	Incarnation string `json:"incarnation"`
	Leaving     bool   `json:"leaving"`
	Slots       int    `json:"slots"`
	// Running counts the tasks that occupy a slot, and Queued those that wait
	// for one.
	Running      int      `json:"running"`
	Queued       int      `json:"queued"`
	ConfigOffset uint64   `json:"config_offset"`
	Entries      []string `json:"entries"`
	// ResultBytes is the total size of the task outputs that are kept, in
	// bytes.
	ResultBytes int64                `json:"result_bytes"`
	Counters    Counters             `json:"counters"`
	Senders     []fencing.SenderDump `json:"senders"`
}

// Dump returns a copy of the current state.
func (c *Core) Dump() Dump {
	now := c.env.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	dump := Dump{Incarnation: c.options.Incarnation.String(), Leaving: c.leaving, Slots: c.options.Slots,
		Running: len(c.running), Queued: len(c.urgentQueue) + len(c.batchQueue), ConfigOffset: c.config.Offset(),
		ResultBytes: c.guard.HeldBytes(), Counters: c.counters, Senders: c.guard.Dump(now)}
	dump.Counters.NotStarted = maps.Clone(c.counters.NotStarted)
	dump.Counters.Ended = maps.Clone(c.counters.Ended)
	for _, entry := range slices.Sorted(maps.Keys(c.connections)) {
		dump.Entries = append(dump.Entries, entry.String())
	}
	return dump
}
