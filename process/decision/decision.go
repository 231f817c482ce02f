// Package decision describes a decision of a process for its log: what was
// decided, for which request, from which inputs.
package decision

import (
	"time"

	"github.com/azurerouter/azurerouter/request/batch"
)

// Input is one quantity that led to a decision. The name carries the unit.
type Input struct {
	Name  string
	Value int64
}

// Decision is one line of the log. Empty fields are left out.
type Decision struct {
	// Step names the decision.
	Step string
	Job  batch.ID
	Run  batch.Run
	// Peer is the process, instance or target that the decision is about.
	Peer    string
	Outcome string
	Reason  string
	// Age is the age of the oldest belief that decided.
	Age time.Duration
	// Version is the version of the configuration or state that decided.
	Version uint64
	Inputs  []Input
	// Routine decisions are those of a request that goes as planned. They are
	// the first to be dropped when there are too many lines.
	Routine bool
}

// Sink receives decisions. It must not block.
type Sink interface{ Decided(Decision) }
