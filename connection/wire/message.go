// Package wire defines the messages between entries and agents and their
// encoding: CBOR with integer keys, one message per length-prefixed frame.
package wire

import (
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"time"

	"github.com/azurerouter/azurerouter/request/job"
)

// Incarnation identifies one run of a process. A new random value is drawn at
// every start.
type Incarnation uint64

// String returns the incarnation in hexadecimal.
func (i Incarnation) String() string { return fmt.Sprintf("%016x", uint64(i)) }

// NewIncarnation returns a random incarnation. It never returns zero, which
// stands for no process.
func NewIncarnation() Incarnation {
	var b [8]byte
	for {
		rand.Read(b[:])
		if i := binary.BigEndian.Uint64(b[:]); i != 0 {
			return Incarnation(i)
		}
	}
}

// Role is the kind of process that sends a Hello: an entry or an agent.
type Role uint8

// Values of Role.
const (
	// RoleEntry is an entry.
	RoleEntry Role = 1
	// RoleAgent is an agent.
	RoleAgent Role = 2
)

// Message is one of the message types of this package.
type Message interface{ kind() kind }

// Hello is the first message of each side of a connection.
type Hello struct {
	Role        Role        `cbor:"1,keyasint"`
	Incarnation Incarnation `cbor:"2,keyasint"`
	Name        string      `cbor:"3,keyasint"`
	Zone        string      `cbor:"4,keyasint"`
	// PeerAddr is the address at which an entry accepts connections from other
	// processes.
	PeerAddr string `cbor:"5,keyasint,omitempty"`
	// Service, Slots and the capacities describe the target of an agent.
	Service      string `cbor:"6,keyasint,omitempty"`
	Slots        int    `cbor:"7,keyasint,omitempty"`
	MemoryMB     int    `cbor:"8,keyasint,omitempty"`
	Accelerators int    `cbor:"9,keyasint,omitempty"`
	// ConfigOffset is the configuration version in force at the sender.
	ConfigOffset uint64 `cbor:"10,keyasint,omitempty"`
}

// EntryAddress is one entry known to the sender of Members.
type EntryAddress struct {
	Incarnation Incarnation `cbor:"1,keyasint"`
	Name        string      `cbor:"2,keyasint"`
	Zone        string      `cbor:"3,keyasint"`
	PeerAddr    string      `cbor:"4,keyasint"`
	// AnnouncedMS is the time at which the log recorded the last announcement
	// of the entry, in milliseconds since 1970; 0 in the announcement itself.
	AnnouncedMS int64 `cbor:"5,keyasint,omitempty"`
}

// Members lists the entries known to an entry, as of an offset of the members
// stream.
type Members struct {
	Offset  uint64         `cbor:"1,keyasint"`
	Entries []EntryAddress `cbor:"2,keyasint"`
}

// Load is the number of tasks that an agent runs at its target and queues for
// it.
type Load struct {
	Running int `cbor:"1,keyasint"`
	Queued  int `cbor:"2,keyasint"`
}

// HeartbeatInterval is the longest pause between two messages to a peer. It is
// half of the silence after which an entry stops sending to an agent. Keep-alive
// packets of the transport check that the connection itself is alive.
const HeartbeatInterval = time.Second

// Heartbeat is sent when no other message was sent within HeartbeatInterval.
// Released lists the sequence numbers whose results the sender no longer needs.
type Heartbeat struct {
	Load     Load     `cbor:"1,keyasint,omitempty"`
	Released []uint64 `cbor:"2,keyasint,omitempty"`
	// ConfigOffset is the configuration version in force at the sender.
	ConfigOffset uint64 `cbor:"3,keyasint,omitempty"`
}

// Resume follows the Hello of an entry. Sequence numbers up to HighestSeq that
// are not in Unreleased are released: the agent may drop their results and
// starts no task for them.
type Resume struct {
	HighestSeq uint64   `cbor:"1,keyasint"`
	Unreleased []uint64 `cbor:"2,keyasint,omitempty"`
}

// DispatchTask asks an agent to start one task once.
type DispatchTask struct {
	Seq uint64      `cbor:"1,keyasint"`
	Key job.KeyHash `cbor:"2,keyasint"`
	// Index is the index of the task in its job, Count the number of tasks of
	// the job.
	Index   int `cbor:"3,keyasint"`
	Count   int `cbor:"4,keyasint"`
	Attempt int `cbor:"5,keyasint"`
	// BudgetMS is the time left until the deadline, in milliseconds.
	BudgetMS int64  `cbor:"6,keyasint"`
	Batch    bool   `cbor:"7,keyasint,omitempty"`
	Input    []byte `cbor:"8,keyasint"`
	// Idempotent allows a second start of the same task after an unknown
	// outcome.
	Idempotent bool `cbor:"9,keyasint,omitempty"`
}

// Dispatch asks an agent to start tasks. Only the agent incarnation that it
// names accepts it.
type Dispatch struct {
	Agent    Incarnation    `cbor:"1,keyasint"`
	Entry    Incarnation    `cbor:"2,keyasint"`
	Tasks    []DispatchTask `cbor:"3,keyasint"`
	Released []uint64       `cbor:"4,keyasint,omitempty"`
}

// NotStartedReason is the reason why an agent did not start a task. With every
// non-empty value except NotStartedDuplicate, no task is ever started for the
// sequence number.
type NotStartedReason string

// Values of NotStartedReason.
const (
	// Started means that the task was started.
	Started NotStartedReason = ""
	// NotStartedIncarnation means that the dispatch names another agent
	// incarnation.
	NotStartedIncarnation NotStartedReason = "wrong_incarnation"
	// NotStartedFenced means that the entry incarnation is fenced.
	NotStartedFenced NotStartedReason = "fenced"
	// NotStartedLeaving means that the agent is shutting down.
	NotStartedLeaving NotStartedReason = "leaving"
	// NotStartedBusy means that no slot and no place in the queue is free.
	NotStartedBusy NotStartedReason = "busy"
	// NotStartedWindow means that the entry has not released enough of the
	// results that the agent holds.
	NotStartedWindow NotStartedReason = "window_full"
	// NotStartedLease means that the lease of the entry has lapsed.
	NotStartedLease NotStartedReason = "lease_lapsed"
	// NotStartedDeadline means that the deadline has passed.
	NotStartedDeadline NotStartedReason = "deadline"
	// NotStartedCancelled means that the entry has cancelled the task.
	NotStartedCancelled NotStartedReason = "cancelled"
	// NotStartedTargetRefused means that the target refused the task, or that
	// nothing of it could be sent to the target.
	NotStartedTargetRefused NotStartedReason = "target_refused"
	// NotStartedDuplicate means that the sequence number was handled before:
	// the task may have been started then.
	NotStartedDuplicate NotStartedReason = "duplicate"
)

// TaskAnswer is the result of one dispatched task, or the reason why it was not
// started.
type TaskAnswer struct {
	Seq        uint64           `cbor:"1,keyasint"`
	Attempt    int              `cbor:"2,keyasint"`
	NotStarted NotStartedReason `cbor:"3,keyasint,omitempty"`
	Outcome    job.Outcome      `cbor:"4,keyasint,omitempty"`
	Output     []byte           `cbor:"5,keyasint,omitempty"`
	Error      string           `cbor:"6,keyasint,omitempty"`
	// RunMS is the time the target took, in milliseconds.
	RunMS int64 `cbor:"7,keyasint,omitempty"`
}

// Answers carries task results from an agent to the entry that dispatched the
// tasks.
type Answers struct {
	Agent Incarnation  `cbor:"1,keyasint"`
	Entry Incarnation  `cbor:"2,keyasint"`
	Tasks []TaskAnswer `cbor:"3,keyasint"`
	Load  Load         `cbor:"4,keyasint"`
}

// Cancel asks an agent to stop tasks. Those that have not started never start.
type Cancel struct {
	Entry Incarnation `cbor:"1,keyasint"`
	Seqs  []uint64    `cbor:"2,keyasint"`
}

// Leaving announces that the sender is shutting down and accepts no new work.
type Leaving struct{}

// Fence asks an agent to refuse an entry incarnation permanently, unless the
// agent has received a message from that entry within the last SilentMS
// milliseconds.
type Fence struct {
	Entry    Incarnation `cbor:"1,keyasint"`
	SilentMS int64       `cbor:"2,keyasint"`
}

// HeldTask is a task that an agent started for a fenced entry. Outcome is
// empty while the task is running.
type HeldTask struct {
	Key     job.KeyHash `cbor:"1,keyasint"`
	Index   int         `cbor:"2,keyasint"`
	Count   int         `cbor:"3,keyasint"`
	Outcome job.Outcome `cbor:"4,keyasint,omitempty"`
	Output  []byte      `cbor:"5,keyasint,omitempty"`
	Error   string      `cbor:"6,keyasint,omitempty"`
}

// Fenced is the reply to Fence. Later messages report the results of tasks that
// were still running.
type Fenced struct {
	Entry Incarnation `cbor:"1,keyasint"`
	// EntryAlive means that the agent has received a message from the entry
	// within Fence.SilentMS and has not fenced it.
	EntryAlive bool       `cbor:"2,keyasint,omitempty"`
	Tasks      []HeldTask `cbor:"3,keyasint,omitempty"`
	// More means that the reply continues in another message.
	More bool `cbor:"4,keyasint,omitempty"`
}

// Query asks the entry that owns a key for the answer to a resubmission. The
// owner replies when the answer is available or BudgetMS milliseconds have
// passed.
type Query struct {
	ID       uint64      `cbor:"1,keyasint"`
	Key      job.KeyHash `cbor:"2,keyasint"`
	Digest   job.Digest  `cbor:"3,keyasint"`
	BudgetMS int64       `cbor:"4,keyasint"`
	// Body is the resubmission as JSON, with which an owner that has never
	// started the job can run it.
	Body   []byte `cbor:"5,keyasint,omitempty"`
	Single bool   `cbor:"6,keyasint,omitempty"`
}

// QueryReply is the reply to Query: Answer holds the whole answer as JSON, or
// Refusal the reason why there is none.
type QueryReply struct {
	ID      uint64  `cbor:"1,keyasint"`
	Answer  []byte  `cbor:"2,keyasint,omitempty"`
	Refusal Refusal `cbor:"3,keyasint,omitempty"`
}

// Refusal is the encoding of a refusal of package request/refusal.
type Refusal struct {
	Code         string `cbor:"1,keyasint,omitempty"`
	Run          string `cbor:"2,keyasint,omitempty"`
	Message      string `cbor:"3,keyasint,omitempty"`
	Step         string `cbor:"4,keyasint,omitempty"`
	RetryAfterMS int64  `cbor:"5,keyasint,omitempty"`
}

// ConfigFile is one file of the published configuration.
type ConfigFile struct {
	Name    string `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint"`
	Content []byte `cbor:"3,keyasint"`
}

// Config carries the whole configuration as of an offset of the config stream.
type Config struct {
	Offset uint64       `cbor:"1,keyasint"`
	Files  []ConfigFile `cbor:"2,keyasint"`
}

// QuotaShare reports the demand of an entry for a team, and lends part of its
// share to the receiver.
type QuotaShare struct {
	Team string `cbor:"1,keyasint"`
	// Demand is the rate of task starts that the sender needs, per second.
	Demand float64 `cbor:"2,keyasint"`
	// Loan is the rate lent to the receiver, in task starts per second.
	Loan float64 `cbor:"3,keyasint,omitempty"`
}

// Quota carries quota reports between entries. EchoSeq is the Seq of the newest
// Quota received from the other entry; the duration of the loans counts from
// the time at which that message was sent.
type Quota struct {
	Shares  []QuotaShare `cbor:"1,keyasint"`
	Seq     uint64       `cbor:"2,keyasint"`
	EchoSeq uint64       `cbor:"3,keyasint,omitempty"`
}

// Milliseconds converts a duration to whole milliseconds, rounding down.
func Milliseconds(d time.Duration) int64 { return int64(d / time.Millisecond) }
