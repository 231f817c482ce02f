package wire

import (
	"time"

	"github.com/azurerouter/azurerouter/request/batch"
	"github.com/azurerouter/azurerouter/version/routing"
)

// Times that both sides of a session between an entry and an agent rely on. A
// session ends SessionTTL after the agent sent the newest clock value that the
// entry has echoed. The agent then stops the runs of that entry.
const (
	SessionTTL = 500 * time.Millisecond
	// RunLease is how long runs survive at a target whose agent is gone.
	RunLease = 700 * time.Millisecond
	// LostAfter is when a run at an agent that the entry no longer hears has
	// ended for certain: the session, then the lease, both on clocks that may
	// be 2 % slow, then the stop itself.
	LostAfter = (SessionTTL+RunLease)*102/100 + 100*time.Millisecond
	// PulseInterval is the longest pause between two messages of a session.
	PulseInterval = 150 * time.Millisecond
)

// EntryHello is the first message of an entry on a connection.
type EntryHello struct {
	Entry   Incarnation   `cbor:"1,keyasint"`
	Name    string        `cbor:"2,keyasint"`
	Zone    string        `cbor:"3,keyasint"`
	Entries []EntryMember `cbor:"4,keyasint,omitempty"`
}

// EntryMember is one entry that the sender knows.
type EntryMember struct {
	Name string `cbor:"1,keyasint"`
	// Addr is where the entry accepts connections of other processes.
	Addr string `cbor:"2,keyasint"`
}

// EntryMembers lists the entries that the sender knows.
type EntryMembers struct {
	Entries []EntryMember `cbor:"1,keyasint,omitempty"`
}

// RoutingUpdate passes a version of the routing configuration to another entry.
type RoutingUpdate struct {
	Config routing.Config `cbor:"1,keyasint"`
}

// TargetState is what an agent knows of its target.
type TargetState struct {
	// Target is the incarnation of the target.
	Target  string          `cbor:"1,keyasint"`
	Service string          `cbor:"2,keyasint"`
	Room    batch.Resources `cbor:"3,keyasint"`
	Labels  []string        `cbor:"4,keyasint,omitempty"`
	// Closed says why the target takes no new runs, or is empty.
	Closed Closed `cbor:"5,keyasint,omitempty"`
	// Probing is set while the target takes one run at a time, after it was
	// found faulty.
	Probing bool `cbor:"6,keyasint,omitempty"`
	// Revision rises with each change at one agent incarnation.
	Revision uint64 `cbor:"7,keyasint"`
}

// Closed is a reason for which a target takes no new runs.
type Closed string

// Values of Closed.
const (
	// ClosedNoTarget: the agent has not heard from its target.
	ClosedNoTarget Closed = "no_target"
	// ClosedDraining: the target is about to leave.
	ClosedDraining Closed = "draining"
	// ClosedAgentLeaving: the agent shuts down.
	ClosedAgentLeaving Closed = "agent_leaving"
	// ClosedFaulty: runs fail at the target.
	ClosedFaulty Closed = "faulty"
	// ClosedStalled: runs make no progress at the target.
	ClosedStalled Closed = "stalled"
	// ClosedUnreachable: the target does not answer the agent.
	ClosedUnreachable Closed = "unreachable"
	// ClosedLapsing: the lease has to lapse, so that ends which must not count
	// are forgotten.
	ClosedLapsing Closed = "lapsing"
)

// Enroll is the first message of an agent on a connection, in answer to the
// entry's hello. Runs of the entry that are not listed are not running at the
// target, whatever was ordered before.
type Enroll struct {
	Agent Incarnation `cbor:"1,keyasint"`
	// Node names the instance; it outlives the agent's incarnation.
	Node string `cbor:"2,keyasint"`
	Zone string `cbor:"3,keyasint"`
	// Clock is that of AgentReport.
	Clock  int64           `cbor:"4,keyasint"`
	Target TargetState     `cbor:"5,keyasint"`
	Free   batch.Resources `cbor:"6,keyasint"`
	Held   []RunReport     `cbor:"7,keyasint,omitempty"`
}

// Orders is a message of an entry to an agent. Without content it only renews
// the session.
type Orders struct {
	// Sequence numbers the orders of a connection.
	Sequence uint64 `cbor:"1,keyasint"`
	// Echo is the newest Clock received from the agent.
	Echo   int64        `cbor:"2,keyasint"`
	Starts []StartOrder `cbor:"3,keyasint,omitempty"`
	Stops  []batch.Run  `cbor:"4,keyasint,omitempty"`
	// Waiting describes the tasks of the entry that wait for room, if there
	// are any. It replaces what an earlier message said.
	Waiting *Waiting `cbor:"5,keyasint,omitempty"`
	// Stored lists runs whose ends may be acknowledged to the target, Void those
	// whose ends must not count, because their tasks may run again.
	Stored []batch.Run `cbor:"6,keyasint,omitempty"`
	Void   []batch.Run `cbor:"7,keyasint,omitempty"`
}

// Waiting describes tasks that wait for room. An agent with enough room for the
// smallest of them invites the entry with the lowest SlackMS.
type Waiting struct {
	// SlackMS is that of the most urgent task; see StartOrder.
	SlackMS int64 `cbor:"1,keyasint"`
	// Smallest is the demand of the smallest task.
	Smallest batch.Resources `cbor:"2,keyasint"`
}

// StartOrder asks for runs of tasks of one step of a job.
type StartOrder struct {
	Job        batch.ID        `cbor:"1,keyasint"`
	Spec       string          `cbor:"2,keyasint"`
	Step       int             `cbor:"3,keyasint,omitempty"`
	Occurrence int             `cbor:"4,keyasint,omitempty"`
	Demand     batch.Resources `cbor:"5,keyasint"`
	// EstimateMS is the caller's estimate of one task.
	EstimateMS int64 `cbor:"6,keyasint"`
	// SlackMS orders the entries that wait for room, the lowest first. It grows
	// with the time left until the task must start.
	SlackMS int64       `cbor:"7,keyasint"`
	Tasks   []StartTask `cbor:"8,keyasint"`
	// Target is the incarnation for which the order is meant. An agent whose
	// target has been replaced refuses it.
	Target string `cbor:"9,keyasint"`
	// Durable runs end only once their end is recorded: until Orders.Stored the
	// agent does not acknowledge it to the target.
	Durable bool `cbor:"10,keyasint,omitempty"`
}

// StartTask is one run of a StartOrder.
type StartTask struct {
	Index  int `cbor:"1,keyasint,omitempty"`
	Number int `cbor:"2,keyasint"`
}

// Run returns the run that a start order names for one of its tasks.
func (o StartOrder) Run(t StartTask) batch.Run {
	task := batch.Task{Job: o.Job, Occurrence: o.Occurrence, Step: o.Step, Index: t.Index}
	return batch.Run{Task: task, Number: t.Number}
}

// RefusedStart is a reason for which an agent did not start a run. The run has
// not started and never will.
type RefusedStart string

// Values of RefusedStart.
const (
	// RefusedFull: no room.
	RefusedFull RefusedStart = "full"
	// RefusedClosed: the target takes no new runs.
	RefusedClosed RefusedStart = "closed"
	// RefusedSession: the session of the entry has ended.
	RefusedSession RefusedStart = "session"
	// RefusedSuperseded: a run with the same or a higher number was seen.
	RefusedSuperseded RefusedStart = "superseded"
	// RefusedByTarget: the target refused without reason of its own room.
	RefusedByTarget RefusedStart = "target"
	// RefusedUnanswered: the target did not answer and the run was withdrawn.
	RefusedUnanswered RefusedStart = "unanswered"
	// RefusedStopped: the run was stopped before it was started.
	RefusedStopped RefusedStart = "stopped"
	// RefusedInvalid: the target can't run such a task.
	RefusedInvalid RefusedStart = "invalid"
)

// RunReport tells that a run has ended or was refused, or with neither that it
// is held.
type RunReport struct {
	Run     batch.Run    `cbor:"1,keyasint"`
	End     batch.End    `cbor:"2,keyasint,omitempty"`
	Refused RefusedStart `cbor:"3,keyasint,omitempty"`
	// RanMS is the time from the start to the end.
	RanMS int64 `cbor:"4,keyasint,omitempty"`
	// Unstored is set for an end that the agent keeps until it is told whether
	// it is recorded.
	Unstored bool `cbor:"5,keyasint,omitempty"`
}

// AgentReport is a message of an agent to an entry. Without content it only
// renews the session.
type AgentReport struct {
	// Clock is the agent's clock, in microseconds, when it sent the message.
	Clock int64 `cbor:"1,keyasint"`
	// Handled is the highest Sequence of Orders that Free takes into account.
	Handled uint64          `cbor:"2,keyasint"`
	Free    batch.Resources `cbor:"3,keyasint"`
	Runs    []RunReport     `cbor:"4,keyasint,omitempty"`
	Target  *TargetState    `cbor:"5,keyasint,omitempty"`
	// Invitation tells an entry whose tasks wait that there is room now. The
	// entry answers with orders, which may be empty.
	Invitation bool `cbor:"6,keyasint,omitempty"`
}
