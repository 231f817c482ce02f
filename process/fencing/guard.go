// Package fencing decides, in the agent of one target, whether a dispatched
// task may start. It makes starts at-most-once: a dispatch is valid for one
// incarnation of the agent only, a sequence number starts at most one task, and
// an entry incarnation that has been fenced starts no further task.
//
// The package reads no clock: every method that depends on the time takes it as
// an argument. A Guard is safe for concurrent use; the state of each sender has
// its own lock.
package fencing

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/request/job"
)

// Limits bound the state that a Guard keeps.
type Limits struct {
	// LeaseDuration is how long after the last message of an entry its tasks
	// may start. Only the clock of this process measures it.
	LeaseDuration time.Duration
	// SenderExpiry is the time without a message after which a sender's open
	// sequences are given up, so that only its high-water mark remains. It is
	// longer than LeaseDuration, so no task that could still start is given up.
	SenderExpiry time.Duration
	// ResultRetention is how long a result is kept after its release, for
	// another entry that recovers the job.
	ResultRetention time.Duration
	// MaxHeldBytes is the total size of the kept task outputs from which new
	// tasks are refused as window_full. Above it, released results are dropped
	// before the end of their retention.
	MaxHeldBytes int64
	// Window is the number of open sequences of one sender from which its new
	// tasks are refused as window_full.
	Window int
}

// DefaultLimits are the limits given in the design document.
var DefaultLimits = Limits{
	LeaseDuration:   3 * time.Second,
	SenderExpiry:    time.Minute,
	ResultRetention: 30 * time.Second,
	MaxHeldBytes:    16 << 20,
	Window:          4096,
}

// hardWindowFactor times Limits.Window is the number of open and missing
// sequences above which a sender is fenced. Refused sequences count too, so
// this bounds the memory of a sender that ignores window_full refusals.
const hardWindowFactor = 4

// Guard records which tasks one agent incarnation has accepted and started.
type Guard struct {
	self        wire.Incarnation
	limits      Limits
	onViolation func(guarantee, detail string)

	mu      sync.RWMutex
	senders map[wire.Incarnation]*sender
	// retiredHighWater holds the high-water marks of senders whose other state
	// was removed after SenderExpiry. An entry that reconnects after a long
	// partition continues from its mark.
	retiredHighWater map[wire.Incarnation]uint64
	// fencedHighWater holds the high-water marks of the fenced entries, for the
	// lifetime of the agent.
	fencedHighWater map[wire.Incarnation]uint64

	heldBytes   atomic.Int64
	startCounts startCounter
}

// New returns a Guard for one agent incarnation. onViolation is called with the
// name of a guarantee that would be broken and a description; the affected task
// is not started.
func New(self wire.Incarnation, limits Limits, onViolation func(guarantee, detail string)) *Guard {
	return &Guard{self: self, limits: limits, onViolation: onViolation,
		senders:          make(map[wire.Incarnation]*sender),
		retiredHighWater: make(map[wire.Incarnation]uint64),
		fencedHighWater:  make(map[wire.Incarnation]uint64),
		startCounts:      startCounter{counts: make(map[taskID]int)},
	}
}

// Connected starts a lease for an entry that has opened a new connection. It
// has no effect for a fenced entry.
func (g *Guard) Connected(now time.Time, entry wire.Incarnation) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, fenced := g.fencedHighWater[entry]; fenced {
		return
	}
	s, ok := g.senders[entry]
	if !ok {
		s = newSender(entry, g.retiredHighWater[entry])
		delete(g.retiredHighWater, entry)
		g.senders[entry] = s
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastMessageAt = now
}

// RenewLease renews the lease of an entry from which a message was received,
// and reports whether the lease was still valid. Only Connected renews a lapsed
// lease: after a pause of this process, messages that were buffered during the
// pause do not show that the entry is still alive. A fenced entry needs no
// lease, because all its new dispatches are refused: RenewLease returns true
// for it, so that its connection stays open for these refusals.
func (g *Guard) RenewLease(now time.Time, entry wire.Incarnation) bool {
	if g.Fenced(entry) {
		return true
	}
	s := g.lookup(entry)
	if s == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.leaseHolds(now, g.limits.LeaseDuration) {
		return false
	}
	s.lastMessageAt = now
	return true
}

// Admission is the decision on one dispatched task. Both fields are unset while
// the task of an earlier dispatch of the same sequence is waiting or running.
type Admission struct {
	// Accepted means that the task is new and may wait for a slot; Begin
	// decides whether it starts.
	Accepted bool
	// Answer is set if the task has ended or is refused.
	Answer *wire.TaskAnswer
}

// Admit decides on a dispatched task. reason, if not empty, is the agent's own
// reason (leaving, busy) to refuse a new sequence.
func (g *Guard) Admit(now time.Time, agent, entry wire.Incarnation, task wire.DispatchTask, reason wire.NotStartedReason) Admission {
	if agent != g.self {
		return refusal(task, wire.NotStartedIncarnation)
	}
	s := g.lookup(entry)
	if s == nil {
		return refusal(task, g.refusalForUnknownSender(entry, task.Seq))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	// The state of the sequence is checked before the fence: if a fenced entry
	// repeats a dispatch, the answer must not claim that the task was not started.
	if s.settled(task.Seq) {
		return refusal(task, wire.NotStartedDuplicate)
	}
	if earlier, ok := s.open[task.Seq]; ok {
		return earlier.admission()
	}
	if s.fenced {
		return refusal(task, wire.NotStartedFenced)
	}
	switch {
	case !s.leaseHolds(now, g.limits.LeaseDuration):
		reason = wire.NotStartedLease
	case task.BudgetMS <= 0:
		reason = wire.NotStartedDeadline
	case reason == "" && (len(s.open) >= g.limits.Window || g.heldBytes.Load() >= g.limits.MaxHeldBytes):
		reason = wire.NotStartedWindow
	}
	return s.admit(now, task, reason, g.limits)
}

// refusalForUnknownSender returns the reason to refuse a sequence of a sender
// of which at most a high-water mark is left.
func (g *Guard) refusalForUnknownSender(entry wire.Incarnation, seq uint64) wire.NotStartedReason {
	g.mu.RLock()
	defer g.mu.RUnlock()
	highWater, fenced := g.fencedHighWater[entry]
	if !fenced {
		highWater = g.retiredHighWater[entry]
	}
	switch {
	case seq <= highWater:
		return wire.NotStartedDuplicate
	case fenced:
		return wire.NotStartedFenced
	}
	return wire.NotStartedLease
}

// Begin must be called immediately before the target is called. It returns an
// empty string if the task may start, and otherwise the reason; a sequence
// refused here is never started later.
func (g *Guard) Begin(now time.Time, entry wire.Incarnation, seq uint64) wire.NotStartedReason {
	s := g.lookup(entry)
	if s == nil {
		return wire.NotStartedFenced
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	record, ok := s.open[seq]
	if !ok {
		return wire.NotStartedDuplicate
	}
	if reason := s.tryBegin(now, record, g.limits.LeaseDuration); reason != "" {
		return reason
	}
	if !g.startCounts.add(record.id(), record.task.Idempotent) {
		g.onViolation("G1", fmt.Sprintf("second start of task %s/%d for entry %s", record.task.Key, record.task.Index, entry))
		record.refuse(now, wire.NotStartedDuplicate)
		return wire.NotStartedDuplicate
	}
	record.state = running
	return ""
}

// End records the end of a task that Begin allowed to start, including a
// refusal by the target. It reports whether the entry was fenced in the
// meantime, in which case the result goes to the entries that recover its jobs.
func (g *Guard) End(now time.Time, entry wire.Incarnation, answer wire.TaskAnswer) (held wire.HeldTask, fenced bool) {
	s := g.lookup(entry)
	if s == nil {
		return wire.HeldTask{}, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	record, ok := s.open[answer.Seq]
	if !ok || record.state == ended {
		return wire.HeldTask{}, false
	}
	record.end(now, answer)
	g.heldBytes.Add(int64(len(answer.Output)))
	if answer.NotStarted != "" {
		// The target did not start the task, so it may be dispatched here again.
		g.startCounts.remove(record.id())
		record.started = false
	}
	if record.released {
		s.settle(now, answer.Seq, record)
	}
	return record.heldTask(), s.fenced
}

// Release releases the sequences whose results the entry no longer needs. A
// sequence that has not begun is cancelled. Results are kept for up to another
// ResultRetention, for entries that recover the job.
func (g *Guard) Release(now time.Time, entry wire.Incarnation, seqs []uint64) {
	s := g.lookup(entry)
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, seq := range seqs {
		s.release(now, seq)
	}
}

// Resume releases every sequence up to high that is not in unreleased, and
// returns the answers of the unreleased ones that have ended.
func (g *Guard) Resume(now time.Time, entry wire.Incarnation, high uint64, unreleased []uint64) []wire.TaskAnswer {
	s := g.lookup(entry)
	if s == nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.resume(now, high, unreleased)
}

// Cancel cancels tasks. Those that have not begun end without a start and are
// returned as ended; stop lists the sequences that are running, for the agent
// to stop.
func (g *Guard) Cancel(now time.Time, entry wire.Incarnation, seqs []uint64) (stop []uint64, ended []wire.TaskAnswer) {
	s := g.lookup(entry)
	if s == nil {
		return nil, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, seq := range seqs {
		record, ok := s.open[seq]
		if !ok {
			continue
		}
		record.cancelled = true
		switch record.state {
		case running:
			stop = append(stop, seq)
		case accepted:
			record.refuse(now, wire.NotStartedCancelled)
			ended = append(ended, record.answer)
		}
	}
	return stop, ended
}

// Fence refuses all new dispatches of an entry from now on, unless a message of
// it was received less than minSilence ago: then it returns alive and has no
// effect. Otherwise it returns the tasks started for the entry.
func (g *Guard) Fence(now time.Time, entry wire.Incarnation, minSilence time.Duration) (alive bool, tasks []wire.HeldTask) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s, ok := g.senders[entry]
	if !ok {
		g.fencedHighWater[entry] = max(g.fencedHighWater[entry], g.retiredHighWater[entry])
		delete(g.retiredHighWater, entry)
		return false, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.fenced && now.Sub(s.lastMessageAt) < minSilence {
		return true, nil
	}
	s.fence(now)
	g.fencedHighWater[entry] = s.highWater
	return false, s.heldTasks()
}

// Fenced reports whether the entry has been fenced.
func (g *Guard) Fenced(entry wire.Incarnation) bool {
	g.mu.RLock()
	defer g.mu.RUnlock()
	_, ok := g.fencedHighWater[entry]
	return ok
}

func (g *Guard) lookup(entry wire.Incarnation) *sender {
	g.mu.RLock()
	defer g.mu.RUnlock()
	return g.senders[entry]
}

func refusal(task wire.DispatchTask, reason wire.NotStartedReason) Admission {
	return Admission{Answer: &wire.TaskAnswer{Seq: task.Seq, Attempt: task.Attempt, NotStarted: reason}}
}

// taskID identifies a task across senders.
type taskID struct {
	key   job.KeyHash
	index int
}

// startCounter counts the starts of each task, whichever entry dispatched it,
// to detect a second start by this agent incarnation. It is a check independent
// of the state of the senders.
type startCounter struct {
	mu     sync.Mutex
	counts map[taskID]int
}

// add counts a start. It returns false, without counting, for the second start
// of a task that is not idempotent.
func (s *startCounter) add(id taskID, idempotent bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.counts[id] > 0 && !idempotent {
		return false
	}
	s.counts[id]++
	return true
}

func (s *startCounter) remove(id taskID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.counts[id]--; s.counts[id] <= 0 {
		delete(s.counts, id)
	}
}
