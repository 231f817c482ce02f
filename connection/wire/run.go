package wire

import (
	"time"

	"github.com/azurerouter/azurerouter/request/batch"
	"github.com/azurerouter/azurerouter/version/evacuation"
	"github.com/azurerouter/azurerouter/version/routing"
)

// Times of a session between an entry and an agent, on which both sides rely.
const (
	// SessionTTL is the time for which a session lasts after the agent sent the
	// newest clock value that the entry has echoed. When the session ends, the
	// agent stops the runs of that entry.
	SessionTTL = 500 * time.Millisecond
	// RunLease is the time for which runs continue at a target whose agent no
	// longer renews the lease.
	RunLease = 700 * time.Millisecond
	// RunsLostAfter is the time without a message from an agent after which every
	// run there whose starts are answered has ended: the session ends, then the lease
	// lapses, both on clocks that may be 2 % slow, and then 100 ms for the stop itself.
	RunsLostAfter = (SessionTTL+RunLease)*102/100 + 100*time.Millisecond
	// MaxCallDelay is the longest time after which a target carries out a call that it has
	// not answered.
	MaxCallDelay = 12 * time.Second
	// MaxTargetLease is the longest lease that targets grant. A call that is carried out
	// after a restart of its target gets it, because the clock of the target starts again.
	MaxTargetLease = time.Second
	// UnconfirmedRunsLostAfter is the same as RunsLostAfter for runs of which a start has no
	// answer. The agent sends no start after the end of the session; a target that has
	// restarted under its identity may carry one out MaxCallDelay later.
	UnconfirmedRunsLostAfter = (SessionTTL+MaxTargetLease)*102/100 + MaxCallDelay + 100*time.Millisecond
	// StopGrace is how long an agent still renews the lease although a stop that was
	// ordered is not confirmed. Together with the lease it is shorter than the time after
	// which callers submit a job again.
	StopGrace = 400 * time.Millisecond
	// OwnerRunsLostAfter is the time from the end of an entry's ownership of durable jobs
	// after which every run of them has ended: the message that stops them may renew the
	// session just before it ends.
	OwnerRunsLostAfter = RunsLostAfter + StopGrace
	// SessionRenewInterval is the longest pause between two messages of an active
	// session: one with runs, with ends to be recorded or with announced tasks. For
	// other sessions the entry sets the pause, see Orders.IdleRenewMS.
	SessionRenewInterval = 150 * time.Millisecond
)

// EntryHello is the first message of an entry on a connection.
type EntryHello struct {
	Entry   Incarnation   `cbor:"1,keyasint"`
	Name    string        `cbor:"2,keyasint"`
	Zone    string        `cbor:"3,keyasint"`
	Entries []EntryMember `cbor:"4,keyasint,omitempty"`
	// PauseMS is the longest pause between two messages to another entry, in
	// milliseconds.
	PauseMS int64 `cbor:"5,keyasint,omitempty"`
	// Evacuation are the evacuated zones, if the sender has learned of them.
	Evacuation *evacuation.State `cbor:"6,keyasint,omitempty"`
}

// EntryMember is one entry known to the sender.
type EntryMember struct {
	Name string `cbor:"1,keyasint"`
	// Addr is the address at which the entry accepts connections from other
	// processes.
	Addr string `cbor:"2,keyasint"`
}

// EntryMembers lists the entries known to the sender.
type EntryMembers struct {
	Entries []EntryMember `cbor:"1,keyasint,omitempty"`
	// PauseMS is the same as EntryHello.PauseMS.
	PauseMS int64 `cbor:"2,keyasint,omitempty"`
	// Evacuation is the same as EntryHello.Evacuation. It is set after a change.
	Evacuation *evacuation.State `cbor:"3,keyasint,omitempty"`
	// Started has the addresses of entries that the sender has seen start, for processes
	// that have lost their connection to the entry before it was restarted.
	Started []string `cbor:"4,keyasint,omitempty"`
	// Load, if set, replaces the load that the sender has told before.
	Load *EntryLoad `cbor:"5,keyasint,omitempty"`
}

// RoutingUpdate sends a version of the routing configuration to another entry.
type RoutingUpdate struct {
	Config routing.Config `cbor:"1,keyasint"`
}

// TargetState is the state of a target as reported by its agent.
type TargetState struct {
	// Target is the incarnation of the target.
	Target  string `cbor:"1,keyasint"`
	Service string `cbor:"2,keyasint"`
	// Capacity is the total capacity of the target, used or not.
	Capacity batch.Resources `cbor:"3,keyasint"`
	Labels   []string        `cbor:"4,keyasint,omitempty"`
	// Closed is the reason why the target accepts no new runs, or empty.
	Closed ClosedReason `cbor:"5,keyasint,omitempty"`
	// Probing is set while the target accepts one run at a time, after it was
	// found faulty.
	Probing bool `cbor:"6,keyasint,omitempty"`
	// Revision increases with each change of the state within one agent
	// incarnation.
	Revision uint64 `cbor:"7,keyasint"`
	// StartTime is when the target started, in milliseconds of Unix time by its clock. It
	// changes with each restart and is zero if it is not known.
	StartTime int64 `cbor:"8,keyasint,omitempty"`
}

// ClosedReason is a reason why a target accepts no new runs.
type ClosedReason string

// Values of ClosedReason.
const (
	// ClosedNoTarget means that the agent has not yet received the identity and
	// the clock of its target.
	ClosedNoTarget ClosedReason = "no_target"
	// ClosedDraining means that the target is about to leave.
	ClosedDraining ClosedReason = "draining"
	// ClosedAgentLeaving means that the agent is shutting down.
	ClosedAgentLeaving ClosedReason = "agent_leaving"
	// ClosedFaulty means that runs fail at the target.
	ClosedFaulty ClosedReason = "faulty"
	// ClosedStalled means that runs make no progress at the target.
	ClosedStalled ClosedReason = "stalled"
	// ClosedUnreachable means that the target does not respond to the agent.
	ClosedUnreachable ClosedReason = "unreachable"
	// ClosedEvacuated means that the operator has evacuated the zone of the target.
	ClosedEvacuated ClosedReason = "evacuated"
	// ClosedLapsing means that the agent holds ends of runs that it may
	// acknowledge only after the lease of the target has lapsed, because the
	// ends must not count or no entry has confirmed them.
	ClosedLapsing ClosedReason = "lapsing"
)

// Enroll is the first message of an agent on a connection, sent in reply to
// EntryHello. Runs of the entry that are not in HeldRuns are not running at the
// target, even if the entry ordered them before.
type Enroll struct {
	Agent Incarnation `cbor:"1,keyasint"`
	// Node is the name of the instance. It stays the same when the agent
	// restarts.
	Node string `cbor:"2,keyasint"`
	Zone string `cbor:"3,keyasint"`
	// Clock is the same clock as AgentReport.Clock.
	Clock    int64           `cbor:"4,keyasint"`
	Target   TargetState     `cbor:"5,keyasint"`
	Free     batch.Resources `cbor:"6,keyasint"`
	HeldRuns []RunReport     `cbor:"7,keyasint,omitempty"`
}

// Orders is a message from an entry to an agent. With no lists set it only
// renews the session.
type Orders struct {
	// Sequence is the number of the message within the connection.
	Sequence uint64 `cbor:"1,keyasint"`
	// ClockEcho is the newest Clock received from the agent.
	ClockEcho int64        `cbor:"2,keyasint"`
	Starts    []StartOrder `cbor:"3,keyasint,omitempty"`
	Stops     []batch.Run  `cbor:"4,keyasint,omitempty"`
	// Waiting describes the tasks of the entry that wait for free resources, or
	// is nil. It replaces the value of the previous message.
	Waiting *Waiting `cbor:"5,keyasint,omitempty"`
	// RecordedEnds lists runs whose ends are recorded, so that the agent may
	// acknowledge them to the target. VoidEnds lists runs whose ends must not
	// count, because their tasks may run again.
	RecordedEnds []batch.Run `cbor:"6,keyasint,omitempty"`
	VoidEnds     []batch.Run `cbor:"7,keyasint,omitempty"`
	// IdleRenewMS is the longest pause between two messages of a session that is
	// not active, in milliseconds, or 0 for SessionRenewInterval.
	IdleRenewMS int64 `cbor:"8,keyasint,omitempty"`
	// CapacityEnforced is set if the configuration says that the targets of the service
	// refuse runs that exceed their free capacity.
	CapacityEnforced bool `cbor:"9,keyasint,omitempty"`
}

// IdleRenewInterval returns the longest pause between two messages of a session
// that is not active.
func (o *Orders) IdleRenewInterval() time.Duration {
	return max(SessionRenewInterval, time.Duration(o.IdleRenewMS)*time.Millisecond)
}

// Waiting describes tasks that wait for free resources. An agent with enough
// free resources for the smallest of them sends AgentReport.Invitation to the
// entry with the lowest SlackMS.
type Waiting struct {
	// SlackMS is the StartOrder.SlackMS of the most urgent task.
	SlackMS int64 `cbor:"1,keyasint"`
	// Smallest is the resource demand of the smallest task.
	Smallest batch.Resources `cbor:"2,keyasint"`
}

// StartOrder asks an agent to start runs of tasks that belong to one step of a
// job.
type StartOrder struct {
	Job        batch.ID        `cbor:"1,keyasint"`
	Spec       string          `cbor:"2,keyasint"`
	Step       int             `cbor:"3,keyasint,omitempty"`
	Occurrence int             `cbor:"4,keyasint,omitempty"`
	Demand     batch.Resources `cbor:"5,keyasint"`
	// EstimateMS is the expected duration of one task at a usual target, in
	// milliseconds. It is the caller's estimate until the entry knows better.
	EstimateMS int64 `cbor:"6,keyasint"`
	// SlackMS orders the entries that wait for free resources, the lowest first.
	// It grows with the time left until the task must start.
	SlackMS int64       `cbor:"7,keyasint"`
	Tasks   []StartTask `cbor:"8,keyasint"`
	// Target is the target incarnation for which the order is meant. An agent
	// whose target has been replaced refuses it.
	Target string `cbor:"9,keyasint"`
	// Durable is set if the end of each run must be recorded: the agent
	// acknowledges it to the target only after the run is in Orders.RecordedEnds.
	Durable bool `cbor:"10,keyasint,omitempty"`
}

// StartTask is one run of a StartOrder.
type StartTask struct {
	// Index is the number of the task within the step, RunNumber that of its run.
	Index     int `cbor:"1,keyasint,omitempty"`
	RunNumber int `cbor:"2,keyasint"`
	// StopIfSlow lets the agent stop the run if it is a straggler, so that the task starts
	// at another target once the end is confirmed. The work done is lost.
	StopIfSlow bool `cbor:"3,keyasint,omitempty"`
}

// Run returns the full name of one run of the order.
func (o StartOrder) Run(t StartTask) batch.Run {
	task := batch.Task{Job: o.Job, Occurrence: o.Occurrence, Step: o.Step, Index: t.Index}
	return batch.Run{Task: task, Number: t.RunNumber}
}

// StartRefusal is a reason why an agent refused to start a run. The run has not
// started and never will.
type StartRefusal string

// Values of StartRefusal.
const (
	// RefusedFull means that the target has too few free resources.
	RefusedFull StartRefusal = "full"
	// RefusedClosed means that the target accepts no new runs.
	RefusedClosed StartRefusal = "closed"
	// RefusedSession means that the session of the entry has ended.
	RefusedSession StartRefusal = "session"
	// RefusedSuperseded means that the agent still holds the same or an earlier
	// run of the task, or that the target has seen the same or a later one.
	RefusedSuperseded StartRefusal = "superseded"
	// RefusedByTarget means that the target refused the run for a reason that
	// has no value of its own here.
	RefusedByTarget StartRefusal = "target"
	// RefusedUnanswered means that the target did not respond, the run was withdrawn, and no
	// copy of its start can be carried out any more.
	RefusedUnanswered StartRefusal = "unanswered"
	// RefusedStopped means that the run was stopped before it was started.
	RefusedStopped StartRefusal = "stopped"
	// RefusedInvalid means that the target cannot run such a task.
	RefusedInvalid StartRefusal = "invalid"
)

// RunReport reports the end of a run or the refusal to start it. If End and
// RefusalReason are both empty, the run is still held by the agent.
type RunReport struct {
	Run           batch.Run    `cbor:"1,keyasint"`
	End           batch.End    `cbor:"2,keyasint,omitempty"`
	RefusalReason StartRefusal `cbor:"3,keyasint,omitempty"`
	// RanMS is the time from the start to the end, in milliseconds.
	RanMS int64 `cbor:"4,keyasint,omitempty"`
	// EndUnrecorded is set for an end that the agent keeps until the entry lists
	// the run in Orders.RecordedEnds or Orders.VoidEnds.
	EndUnrecorded bool `cbor:"5,keyasint,omitempty"`
	// TargetCrashed is set if the target crashed while the run was there. Without an
	// end it is about a run whose end was reported before the crash was certain.
	TargetCrashed bool `cbor:"6,keyasint,omitempty"`
	// StartUnconfirmed is set with TargetCrashed if the target did not answer the start
	// of the run, which it may have received only after the crash. It is set for a held
	// run, and for an unrecorded end, if a start of the run has no answer.
	StartUnconfirmed bool `cbor:"7,keyasint,omitempty"`
	// WithheldMS is set for a run that has ended or was withdrawn, but whose task must not
	// start elsewhere for so many milliseconds: a start without an answer may be carried out
	// late. The report of the end follows then.
	WithheldMS int64 `cbor:"8,keyasint,omitempty"`
}

// AgentReport is a message from an agent to an entry. With no runs and no target
// state it only renews the session.
type AgentReport struct {
	// Clock is the agent's clock, in microseconds, when it sent the message.
	Clock int64 `cbor:"1,keyasint"`
	// HandledSequence is the highest Orders.Sequence that Free takes into account.
	HandledSequence uint64          `cbor:"2,keyasint"`
	Free            batch.Resources `cbor:"3,keyasint"`
	Runs            []RunReport     `cbor:"4,keyasint,omitempty"`
	Target          *TargetState    `cbor:"5,keyasint,omitempty"`
	// Invitation is set for an entry with waiting tasks when the target has free
	// resources. The entry replies with Orders, which may be empty.
	Invitation bool `cbor:"6,keyasint,omitempty"`
	// ConfirmedSequence is the highest Orders.Sequence up to which the target has answered
	// all starts of runs that are still held, apart from those in UnansweredStarts.
	ConfirmedSequence uint64 `cbor:"7,keyasint,omitempty"`
	// UnansweredStarts lists the runs of which a start got no answer, and that are held or
	// have not been reported as ended. The target may still carry it out, also after a restart.
	UnansweredStarts []batch.Run `cbor:"8,keyasint,omitempty"`
}
