// Package decision describes the decisions that a process logs: what was decided,
// for which job or run, and from which inputs.
package decision

import (
	"time"

	"github.com/azurerouter/azurerouter/request/batch"
)

// Input is one quantity that a decision is based on. Name is the name of the log
// field and includes the unit, as in waited_ms.
type Input struct {
	Name  string
	Value int64
}

// Decision is one decision, logged as one line. Empty fields are left out of the
// line.
type Decision struct {
	// Step names the kind of decision, for example place or run_end.
	Step string
	Job  batch.ID
	Run  batch.Run
	// Peer is the other process, instance or target that the decision concerns.
	Peer    string
	Outcome string
	Reason  string
	// Age is the age of the oldest information that the decision is based on.
	Age time.Duration
	// Version is the version of the configuration or state that the decision is
	// based on.
	Version uint64
	Inputs  []Input
	// Routine marks a decision about a request that proceeds normally. Routine
	// decisions are the first to be omitted when there are too many lines.
	Routine bool
}

// Recorder receives the decisions of a process.
type Recorder interface {
	// Record logs a decision. It must not block.
	Record(Decision)
}
