package evacuation

import (
	"maps"
	"slices"
)

// Tracker derives the state from the operator's requests. It is not safe for concurrent
// use.
type Tracker struct {
	zones map[string]bool
}

// Request is a record about one zone: it is evacuated, or taken back.
type Request struct {
	Zone      string
	Evacuated bool
}

// Apply adds the requests of a batch of records and returns the state after it. next is the
// offset after the batch. A snapshot has a request for every evacuated zone and replaces
// what was applied before: a zone without a request has been taken back, although the
// record that did so is no longer in the log.
func (t *Tracker) Apply(requests []Request, snapshot bool, next uint64) State {
	if t.zones == nil || snapshot {
		t.zones = make(map[string]bool)
	}
	for _, r := range requests {
		if r.Evacuated {
			t.zones[r.Zone] = true
		} else {
			delete(t.zones, r.Zone)
		}
	}
	return State{Offset: next, Zones: slices.Sorted(maps.Keys(t.zones))}
}
