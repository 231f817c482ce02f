// Package wire defines the messages between the processes of the system and
// their encoding: CBOR with integer keys, one message per length-prefixed
// frame.
package wire

import (
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"time"

	"github.com/azurerouter/azurerouter/request/job"
)

// Incarnation identifies one run of a process. It is drawn at random at every
// start and never reused.
type Incarnation uint64

// String returns the incarnation in hexadecimal.
func (i Incarnation) String() string { return fmt.Sprintf("%016x", uint64(i)) }

// NewIncarnation draws the identity of a process run. Zero is never drawn: it
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

// Role tells an entry from an agent.
type Role uint8

// Values of Role.
const (
	RoleEntry Role = 1
	RoleAgent Role = 2
)

// Message is one of the message types of this package.
type Message interface{ kind() kind }

// Hello opens a connection in both directions.
type Hello struct {
	Role        Role        `cbor:"1,keyasint"`
	Incarnation Incarnation `cbor:"2,keyasint"`
	Name        string      `cbor:"3,keyasint"`
	Zone        string      `cbor:"4,keyasint"`
	// PeerAddr is where an entry accepts connections of other processes.
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
	// AnnouncedMS is the log time of the last announcement, in milliseconds
	// since 1970; 0 in the announcement itself.
	AnnouncedMS int64 `cbor:"5,keyasint,omitempty"`
}

// Members lists the entries known to an entry, as of an offset of the members
// stream.
type Members struct {
	Offset  uint64         `cbor:"1,keyasint"`
	Entries []EntryAddress `cbor:"2,keyasint"`
}

// Load is the state of a target as its agent sees it.
type Load struct {
	Running int `cbor:"1,keyasint"`
	Queued  int `cbor:"2,keyasint"`
}

// HeartbeatInterval is the longest time without a message to a peer. It is half
// of the silence after which an entry stops sending to an agent. The liveness of
// the connection itself is up to the transport's keep-alive packets.
const HeartbeatInterval = time.Second

// Heartbeat is sent when nothing else was within HeartbeatInterval.
// Released lists sequences whose results the sender no longer needs.
type Heartbeat struct {
	Load     Load     `cbor:"1,keyasint,omitempty"`
	Released []uint64 `cbor:"2,keyasint,omitempty"`
	// ConfigOffset is the configuration version in force at the sender.
	ConfigOffset uint64 `cbor:"3,keyasint,omitempty"`
}

// Resume follows Hello from an entry. Sequences up to High that are not in
// Unreleased are settled: the agent may drop their results and starts nothing
// for them.
type Resume struct {
	High       uint64   `cbor:"1,keyasint"`
	Unreleased []uint64 `cbor:"2,keyasint,omitempty"`
}

// DispatchTask asks for one start.
type DispatchTask struct {
	Seq     uint64      `cbor:"1,keyasint"`
	Key     job.KeyHash `cbor:"2,keyasint"`
	Index   int         `cbor:"3,keyasint"`
	Count   int         `cbor:"4,keyasint"`
	Attempt int         `cbor:"5,keyasint"`
	// BudgetMS is the time left until the deadline, in milliseconds.
	BudgetMS int64  `cbor:"6,keyasint"`
	Batch    bool   `cbor:"7,keyasint,omitempty"`
	Input    []byte `cbor:"8,keyasint"`
	// Idempotent allows a second start of the same task after an unknown
	// outcome.
	Idempotent bool `cbor:"9,keyasint,omitempty"`
}

// Dispatch asks an agent to start tasks. It is meant for one incarnation.
type Dispatch struct {
	Agent    Incarnation    `cbor:"1,keyasint"`
	Entry    Incarnation    `cbor:"2,keyasint"`
	Tasks    []DispatchTask `cbor:"3,keyasint"`
	Released []uint64       `cbor:"4,keyasint,omitempty"`
}

// NotStarted is the reason for which an agent did not start a task. Every
// value but NotStartedDuplicate promises that the sequence starts nothing, now
// or later.
type NotStarted string

// Values of NotStarted.
const (
	Started               NotStarted = ""
	NotStartedIncarnation NotStarted = "wrong_incarnation"
	NotStartedFenced      NotStarted = "fenced"
	NotStartedLeaving     NotStarted = "leaving"
	// NotStartedBusy means that no slot and no place in the queue is free.
	NotStartedBusy NotStarted = "busy"
	// NotStartedWindow means that the entry has not released enough of the
	// results that the agent holds.
	NotStartedWindow        NotStarted = "window_full"
	NotStartedLease         NotStarted = "lease_lapsed"
	NotStartedDeadline      NotStarted = "deadline"
	NotStartedCancelled     NotStarted = "cancelled"
	NotStartedTargetRefused NotStarted = "target_refused"
	// NotStartedDuplicate means that the sequence was settled earlier: the
	// task may have been started then.
	NotStartedDuplicate NotStarted = "duplicate"
)

// TaskAnswer is the end of one dispatched task.
type TaskAnswer struct {
	Seq        uint64      `cbor:"1,keyasint"`
	Attempt    int         `cbor:"2,keyasint"`
	NotStarted NotStarted  `cbor:"3,keyasint,omitempty"`
	Outcome    job.Outcome `cbor:"4,keyasint,omitempty"`
	Output     []byte      `cbor:"5,keyasint,omitempty"`
	Error      string      `cbor:"6,keyasint,omitempty"`
	// RunMS is the time the target took, in milliseconds.
	RunMS int64 `cbor:"7,keyasint,omitempty"`
}

// Answers carries ends of tasks from an agent to the entry that dispatched
// them.
type Answers struct {
	Agent Incarnation  `cbor:"1,keyasint"`
	Entry Incarnation  `cbor:"2,keyasint"`
	Tasks []TaskAnswer `cbor:"3,keyasint"`
	Load  Load         `cbor:"4,keyasint"`
}

// Cancel asks an agent to stop tasks; unstarted ones never start.
type Cancel struct {
	Entry Incarnation `cbor:"1,keyasint"`
	Seqs  []uint64    `cbor:"2,keyasint"`
}

// Leaving announces that the sender takes no new work.
type Leaving struct{}

// Fence asks an agent to refuse an entry incarnation for good, unless the
// agent has heard from that entry within SilentMS.
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

// Fenced answers Fence, and reports later the ends of tasks that were still
// running.
type Fenced struct {
	Entry Incarnation `cbor:"1,keyasint"`
	// Alive means that the agent still hears the entry and fenced nothing.
	Alive bool       `cbor:"2,keyasint,omitempty"`
	Tasks []HeldTask `cbor:"3,keyasint,omitempty"`
	// More means that the reply goes on in another message.
	More bool `cbor:"4,keyasint,omitempty"`
}

// Query asks the owner of a key for the answer to a resubmission. The owner
// replies when the answer is there or BudgetMS has passed.
type Query struct {
	ID       uint64      `cbor:"1,keyasint"`
	Key      job.KeyHash `cbor:"2,keyasint"`
	Digest   job.Digest  `cbor:"3,keyasint"`
	BudgetMS int64       `cbor:"4,keyasint"`
	// Body is the resubmission as JSON, so that an owner that never started
	// the job can run it.
	Body   []byte `cbor:"5,keyasint,omitempty"`
	Single bool   `cbor:"6,keyasint,omitempty"`
}

// QueryReply answers Query: Answer holds the whole answer as JSON, or Refusal
// says why there is none.
type QueryReply struct {
	ID      uint64  `cbor:"1,keyasint"`
	Answer  []byte  `cbor:"2,keyasint,omitempty"`
	Refusal Refusal `cbor:"3,keyasint,omitempty"`
}

// Refusal is the form in which a refusal crosses processes.
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
	// Demand is the sender's rate of task starts wanted, per second.
	Demand float64 `cbor:"2,keyasint"`
	// Loan is the rate lent to the receiver, in task starts per second.
	Loan float64 `cbor:"3,keyasint,omitempty"`
}

// Quota carries quota reports between entries. The time of a loan counts from
// the message that Echo names.
type Quota struct {
	Shares []QuotaShare `cbor:"1,keyasint"`
	Seq    uint64       `cbor:"2,keyasint"`
	Echo   uint64       `cbor:"3,keyasint,omitempty"`
}

// Milliseconds converts a duration to whole milliseconds, rounding down.
func Milliseconds(d time.Duration) int64 { return int64(d / time.Millisecond) }
