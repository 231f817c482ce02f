package node

import (
	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/version/evacuation"
)

// applyEvacuation puts the evacuated zones in force, unless newer ones are, and passes them
// on to all connected agents and entries. A newer state with the same zones is passed on
// too: a zone may have been taken back and evacuated again, and a process that has only the
// first of these states would accept the one between from another entry.
func (e *Entry) applyEvacuation(state evacuation.State) {
	replaced, ok := e.Core.SetEvacuation(state)
	if !ok || len(replaced.Zones)+len(state.Zones) == 0 {
		return
	}
	update := &wire.EntryMembers{PauseMS: heartbeatPause(len(e.members())).Milliseconds(), Evacuation: &state}
	for _, l := range e.links() {
		l.send(update)
	}
}

// handleEvacuation handles the evacuated zones in a message of another entry, if any.
func (e *Entry) handleEvacuation(state *evacuation.State) {
	if state != nil {
		e.applyEvacuation(*state)
	}
}

// knownEvacuation returns the evacuated zones for a process that connects, or nil if this
// entry has not learned of any state yet.
func (e *Entry) knownEvacuation() *evacuation.State {
	if state := e.Core.Evacuation(); state.Offset > 0 {
		return &state
	}
	return nil
}
