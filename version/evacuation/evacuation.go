// Package evacuation holds the availability zones that the operator has evacuated: no
// task is started at their targets until the operator takes them back. It has no side
// effects and reads no clock.
package evacuation

import "slices"

// State is the set of evacuated zones as of one position of the operator's log. Any two
// states can be compared, so that processes that pass them on agree on the newest one
// without asking the log.
type State struct {
	// Offset is the offset after the last record of the operator's log that the state
	// includes. It is zero for the state of a process that has not learned of any.
	Offset uint64 `cbor:"1,keyasint"`
	// Zones are the names of the evacuated zones, sorted and without duplicates.
	Zones []string `cbor:"2,keyasint,omitempty"`
}

// Contains reports whether a zone is evacuated.
func (s State) Contains(zone string) bool { return slices.Contains(s.Zones, zone) }

// SameZones reports whether both states evacuate the same zones.
func (s State) SameZones(other State) bool { return slices.Equal(s.Zones, other.Zones) }

// Supersedes reports whether the state replaces another one.
func (s State) Supersedes(other State) bool { return s.Offset > other.Offset }
