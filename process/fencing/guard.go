// Package fencing decides, beside one target, whether a dispatched task may
// start. It makes starts at-most-once: a dispatch names the agent incarnation
// it is meant for, a sequence number starts at most one task, and an entry
// incarnation that has been fenced starts nothing more.
//
// The package reads no clock: every method takes the time. A Guard is safe for
// concurrent use; the state of each sender has its own lock.
package fencing

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/request/job"
)

// Limits bound what a Guard remembers.
type Limits struct {
	// Lease is how long after the last message of an entry its dispatches may
	// start. It is measured by this process's clock alone.
	Lease time.Duration
	// SenderExpiry is the silence after which a sender's open sequences are
	// given up, so that only its high-water mark remains. It exceeds the
	// lease, so nothing that could still start is lost.
	SenderExpiry time.Duration
	// ResultRetention is how long a result is kept after its release, for
	// another entry that recovers the job.
	ResultRetention time.Duration
	// HeldBytes bounds the outputs kept.
	HeldBytes int64
	// Window bounds the sequence numbers remembered for one sender.
	Window int
}

// DefaultLimits are the limits of the design page.
var DefaultLimits = Limits{
	Lease:           3 * time.Second,
	SenderExpiry:    time.Minute,
	ResultRetention: 30 * time.Second,
	HeldBytes:       16 << 20,
	Window:          4096,
}

// hardWindowFactor times Limits.Window bounds the refused sequences that are
// kept for a sender that ignores window_full refusals.
const hardWindowFactor = 4

// Guard remembers what one agent incarnation has started.
type Guard struct {
	self     wire.Incarnation
	limits   Limits
	violated func(guarantee, detail string)

	mu      sync.RWMutex
	senders map[wire.Incarnation]*sender
	// retired holds the high-water marks of senders that went silent. An entry
	// that comes back after a long partition goes on from there.
	retired map[wire.Incarnation]uint64
	// fenced holds, for the life of the agent, the high-water marks of the
	// entries that are refused for good.
	fenced map[wire.Incarnation]uint64

	heldBytes atomic.Int64
	started   startedSet
}

// New returns a Guard for one agent incarnation. violated is called when a
// guarantee would be broken; the affected task is not started.
func New(self wire.Incarnation, limits Limits, violated func(guarantee, detail string)) *Guard {
	return &Guard{self: self, limits: limits, violated: violated,
		senders: make(map[wire.Incarnation]*sender),
		retired: make(map[wire.Incarnation]uint64),
		fenced:  make(map[wire.Incarnation]uint64),
		started: startedSet{tasks: make(map[taskID]int)},
	}
}

// Connected starts a lease for an entry that has opened a new connection.
func (g *Guard) Connected(now time.Time, entry wire.Incarnation) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, fenced := g.fenced[entry]; fenced {
		return
	}
	s, ok := g.senders[entry]
	if !ok {
		s = newSender(entry, g.retired[entry])
		delete(g.retired, entry)
		g.senders[entry] = s
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastHeard = now
}

// Heard renews the lease of an entry and reports whether it still held. A lapsed
// lease is renewed only by Connected: after a pause of this process, messages
// that were buffered meanwhile say nothing about the present. A fenced entry
// needs no lease, because all its dispatches are refused: it counts as held, so
// that its connection stays open for these refusals.
func (g *Guard) Heard(now time.Time, entry wire.Incarnation) bool {
	if g.Fenced(entry) {
		return true
	}
	s := g.lookup(entry)
	if s == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.leaseHolds(now, g.limits.Lease) {
		return false
	}
	s.lastHeard = now
	return true
}

// Offer is the decision on one dispatched task.
type Offer struct {
	// Accepted means that the task is new; Begin decides whether it starts.
	Accepted bool
	// Answer is set if the task has ended or is refused.
	Answer *wire.TaskAnswer
	// Both are unset while an earlier dispatch of the same sequence is open.
}

// Offer decides on a dispatched task. refuse, if not empty, is a reason of the
// agent itself (leaving, busy) for which a new sequence is refused.
func (g *Guard) Offer(now time.Time, agent, entry wire.Incarnation, task wire.DispatchTask, refuse wire.NotStarted) Offer {
	if agent != g.self {
		return refused(task, wire.NotStartedIncarnation)
	}
	s := g.lookup(entry)
	if s == nil {
		return refused(task, g.refusalOfAbsent(entry, task.Seq))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	// What is known of the sequence comes before the fence: a fenced entry that
	// sends a dispatch again must not be told that it was not started.
	if s.settled(task.Seq) {
		return refused(task, wire.NotStartedDuplicate)
	}
	if earlier, ok := s.starts[task.Seq]; ok {
		return earlier.offer()
	}
	if s.fenced {
		return refused(task, wire.NotStartedFenced)
	}
	switch {
	case !s.leaseHolds(now, g.limits.Lease):
		refuse = wire.NotStartedLease
	case task.BudgetMS <= 0:
		refuse = wire.NotStartedDeadline
	case refuse == "" && (len(s.starts) >= g.limits.Window || g.heldBytes.Load() >= g.limits.HeldBytes):
		refuse = wire.NotStartedWindow
	}
	return s.record(now, task, refuse, g.limits)
}

// refusalOfAbsent returns the reason for a sender of which at most a high-water
// mark is left.
func (g *Guard) refusalOfAbsent(entry wire.Incarnation, seq uint64) wire.NotStarted {
	g.mu.RLock()
	defer g.mu.RUnlock()
	high, fenced := g.fenced[entry]
	if !fenced {
		high = g.retired[entry]
	}
	switch {
	case seq <= high:
		return wire.NotStartedDuplicate
	case fenced:
		return wire.NotStartedFenced
	}
	return wire.NotStartedLease
}

// Begin is called immediately before the target is called. It returns the
// reason if the task must not start after all; the reason is then the task's
// end and holds for good.
func (g *Guard) Begin(now time.Time, entry wire.Incarnation, seq uint64) wire.NotStarted {
	s := g.lookup(entry)
	if s == nil {
		return wire.NotStartedFenced
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	start, ok := s.starts[seq]
	if !ok {
		return wire.NotStartedDuplicate
	}
	if reason := s.mayBegin(now, start, g.limits.Lease); reason != "" {
		return reason
	}
	if !g.started.add(start.id(), start.task.Idempotent) {
		g.violated("G1", fmt.Sprintf("second start of task %s/%d for entry %s", start.task.Key, start.task.Index, entry))
		start.refuse(now, wire.NotStartedDuplicate)
		return wire.NotStartedDuplicate
	}
	start.state = running
	return ""
}

// End records the end of a task that Begin let start, or that was refused by the
// target. It reports whether the entry has been fenced meanwhile, so that the
// result goes to the entries that recover its jobs.
func (g *Guard) End(now time.Time, entry wire.Incarnation, answer wire.TaskAnswer) (held wire.HeldTask, fenced bool) {
	s := g.lookup(entry)
	if s == nil {
		return wire.HeldTask{}, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	start, ok := s.starts[answer.Seq]
	if !ok || start.state == ended {
		return wire.HeldTask{}, false
	}
	start.end(now, answer)
	g.heldBytes.Add(int64(len(answer.Output)))
	if answer.NotStarted != "" {
		// The target refused: the task may be tried here again.
		g.started.remove(start.id())
		start.ran = false
	}
	if start.released {
		s.settle(now, answer.Seq, start)
	}
	return start.held(), s.fenced
}

// Release drops the results that the entry no longer needs. They stay for
// ResultRetention, for recovery.
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

// Resume settles every sequence up to high that is not in unreleased, and
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

// Cancel marks tasks as no longer wanted. Those that have not begun will not;
// it returns the sequences that are running, for the agent to stop.
func (g *Guard) Cancel(now time.Time, entry wire.Incarnation, seqs []uint64) (stop []uint64, ended []wire.TaskAnswer) {
	s := g.lookup(entry)
	if s == nil {
		return nil, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, seq := range seqs {
		start, ok := s.starts[seq]
		if !ok {
			continue
		}
		start.cancelled = true
		switch start.state {
		case running:
			stop = append(stop, seq)
		case offered:
			start.refuse(now, wire.NotStartedCancelled)
			ended = append(ended, start.answer)
		}
	}
	return stop, ended
}

// Fence refuses an entry for good, unless it was heard within silent. It
// returns the tasks started for it.
func (g *Guard) Fence(now time.Time, entry wire.Incarnation, silent time.Duration) (alive bool, tasks []wire.HeldTask) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s, ok := g.senders[entry]
	if !ok {
		g.fenced[entry] = max(g.fenced[entry], g.retired[entry])
		delete(g.retired, entry)
		return false, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.fenced && now.Sub(s.lastHeard) < silent {
		return true, nil
	}
	s.fence(now)
	g.fenced[entry] = s.high
	return false, s.heldTasks()
}

// Fenced reports whether the entry is refused for good.
func (g *Guard) Fenced(entry wire.Incarnation) bool {
	g.mu.RLock()
	defer g.mu.RUnlock()
	_, ok := g.fenced[entry]
	return ok
}

func (g *Guard) lookup(entry wire.Incarnation) *sender {
	g.mu.RLock()
	defer g.mu.RUnlock()
	return g.senders[entry]
}

func refused(task wire.DispatchTask, reason wire.NotStarted) Offer {
	return Offer{Answer: &wire.TaskAnswer{Seq: task.Seq, Attempt: task.Attempt, NotStarted: reason}}
}

// taskID identifies a task across senders.
type taskID struct {
	key   job.KeyHash
	index int
}

// startedSet asserts that no task is started twice by this agent incarnation,
// whoever asks for it.
type startedSet struct {
	mu    sync.Mutex
	tasks map[taskID]int
}

func (s *startedSet) add(id taskID, idempotent bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.tasks[id] > 0 && !idempotent {
		return false
	}
	s.tasks[id]++
	return true
}

func (s *startedSet) remove(id taskID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.tasks[id]--; s.tasks[id] <= 0 {
		delete(s.tasks, id)
	}
}
