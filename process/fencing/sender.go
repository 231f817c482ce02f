package fencing

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/request/job"
)

// sender is what an agent remembers of one entry incarnation.
type sender struct {
	entry     wire.Incarnation
	mu        sync.Mutex
	lastHeard time.Time
	fenced    bool
	// A sequence up to high is settled, and never starts anything again,
	// unless it is in starts or in missing. Sequences above high are new.
	high uint64
	// starts holds the sequences that have arrived and are not settled.
	starts map[uint64]*start
	// missing holds the sequences below high that have not arrived and that
	// the entry has not given up. Messages arrive in order, so there are
	// some only after a connection was lost.
	missing map[uint64]struct{}
	// archive holds released results in order of release.
	archive []*start
}

func newSender(entry wire.Incarnation, high uint64) *sender {
	return &sender{entry: entry, high: high, starts: make(map[uint64]*start), missing: make(map[uint64]struct{})}
}

type startState uint8

const (
	offered startState = iota
	running
	ended
)

// start is one sequence number of a sender.
type start struct {
	task      wire.DispatchTask
	state     startState
	ran       bool
	cancelled bool
	released  bool
	deadline  time.Time
	endedAt   time.Time
	answer    wire.TaskAnswer
}

// leaseHolds stays false once it is: lastHeard is renewed while the lease holds,
// or by a new connection.
func (s *sender) leaseHolds(now time.Time, lease time.Duration) bool {
	return now.Sub(s.lastHeard) <= lease
}

func (s *sender) settled(seq uint64) bool {
	if seq > s.high {
		return false
	}
	_, isOpen := s.starts[seq]
	_, isMissing := s.missing[seq]
	return !isOpen && !isMissing
}

// raise moves the high-water mark up to seq and reports false if that would
// leave more missing sequences than the window allows.
func (s *sender) raise(seq uint64, limits Limits) bool {
	if seq <= s.high {
		return true
	}
	known := len(s.starts) + len(s.missing)
	if seq-s.high > uint64(max(0, hardWindowFactor*limits.Window-known)) {
		return false
	}
	for s.high++; s.high < seq; s.high++ {
		s.missing[s.high] = struct{}{}
	}
	return true
}

// record enters a new sequence. A sender that leaves more open than the hard
// window is fenced: it ignores the window_full refusals.
func (s *sender) record(now time.Time, task wire.DispatchTask, refuse wire.NotStarted, limits Limits) Offer {
	if !s.raise(task.Seq, limits) {
		s.fence(now)
		return refused(task, wire.NotStartedFenced)
	}
	delete(s.missing, task.Seq)
	budget := time.Duration(task.BudgetMS) * time.Millisecond
	entry := &start{task: task, deadline: now.Add(budget)}
	s.starts[task.Seq] = entry
	if refuse != "" {
		entry.refuse(now, refuse)
		return entry.offer()
	}
	return Offer{Accepted: true}
}

// mayBegin checks again what Offer checked, because a task may have waited for
// a slot in between. A refusal ends the task.
func (s *sender) mayBegin(now time.Time, start *start, lease time.Duration) wire.NotStarted {
	if start.state != offered {
		if start.state == ended && start.answer.NotStarted != "" {
			return start.answer.NotStarted
		}
		return wire.NotStartedDuplicate
	}
	var reason wire.NotStarted
	switch {
	case s.fenced:
		reason = wire.NotStartedFenced
	case start.cancelled:
		reason = wire.NotStartedCancelled
	case !s.leaseHolds(now, lease):
		reason = wire.NotStartedLease
	case !now.Before(start.deadline):
		reason = wire.NotStartedDeadline
	default:
		start.ran = true
		return ""
	}
	start.refuse(now, reason)
	return reason
}

// release settles a sequence that the entry no longer needs. One that is still
// running stays known until it has ended.
func (s *sender) release(now time.Time, seq uint64) {
	delete(s.missing, seq)
	start, ok := s.starts[seq]
	if !ok {
		return
	}
	start.released = true
	switch start.state {
	case ended:
		s.settle(now, seq, start)
	case offered:
		start.refuse(now, wire.NotStartedCancelled)
		s.settle(now, seq, start)
	}
}

func (s *sender) settle(now time.Time, seq uint64, start *start) {
	delete(s.starts, seq)
	if start.ran {
		start.endedAt = now
		s.archive = append(s.archive, start)
	}
}

// resume settles every sequence up to high that is not in unreleased. Sequences
// above high were dispatched after the resume was written.
func (s *sender) resume(now time.Time, high uint64, unreleased []uint64) []wire.TaskAnswer {
	open := make(map[uint64]struct{}, len(unreleased))
	for _, seq := range unreleased {
		open[seq] = struct{}{}
		if seq > s.high {
			s.missing[seq] = struct{}{}
		}
	}
	s.high = max(s.high, high)
	for seq := range s.missing {
		if _, ok := open[seq]; !ok && seq <= high {
			delete(s.missing, seq)
		}
	}
	for _, seq := range slices.Sorted(maps.Keys(s.starts)) {
		if _, ok := open[seq]; !ok && seq <= high {
			s.release(now, seq)
		}
	}
	return s.endedAnswers(unreleased)
}

func (s *sender) endedAnswers(seqs []uint64) []wire.TaskAnswer {
	var answers []wire.TaskAnswer
	for _, seq := range seqs {
		if start, ok := s.starts[seq]; ok && start.state == ended {
			answers = append(answers, start.answer)
		}
	}
	return answers
}

// retire gives up what a silent sender left open: it starts nothing more under
// the sequences used so far.
func (s *sender) retire(now time.Time) {
	clear(s.missing)
	for _, seq := range slices.Sorted(maps.Keys(s.starts)) {
		s.release(now, seq)
	}
}

// fence ends every task that has not begun.
func (s *sender) fence(now time.Time) {
	s.fenced = true
	for _, start := range s.starts {
		if start.state == offered {
			start.refuse(now, wire.NotStartedFenced)
		}
	}
}

func (s *sender) heldTasks() []wire.HeldTask {
	var tasks []wire.HeldTask
	for _, start := range s.archive {
		tasks = append(tasks, start.held())
	}
	for _, seq := range slices.Sorted(maps.Keys(s.starts)) {
		if s.starts[seq].ran {
			tasks = append(tasks, s.starts[seq].held())
		}
	}
	return tasks
}

// expire settles what ended unneeded and returns the results that are past
// their retention.
func (s *sender) expire(now time.Time, retention time.Duration) []*start {
	for _, seq := range slices.Sorted(maps.Keys(s.starts)) {
		start := s.starts[seq]
		unneeded := start.released || s.fenced && now.Sub(start.endedAt) > retention
		if start.state == ended && unneeded {
			s.settle(now, seq, start)
		}
	}
	kept := 0
	for kept < len(s.archive) && now.Sub(s.archive[kept].endedAt) > retention {
		kept++
	}
	dropped := slices.Clone(s.archive[:kept])
	s.archive = slices.Delete(s.archive, 0, kept) // clears what would keep the results alive
	return dropped
}

func (st *start) id() taskID { return taskID{key: st.task.Key, index: st.task.Index} }

func (st *start) offer() Offer {
	if st.state != ended {
		return Offer{}
	}
	answer := st.answer
	return Offer{Answer: &answer}
}

func (st *start) refuse(now time.Time, reason wire.NotStarted) {
	st.end(now, wire.TaskAnswer{Seq: st.task.Seq, Attempt: st.task.Attempt, NotStarted: reason})
}

func (st *start) end(now time.Time, answer wire.TaskAnswer) {
	st.state = ended
	st.endedAt = now
	st.answer = answer
	st.task.Input = nil
}

// held returns the task as a recovering entry sees it. A target that refused a
// task did not start it, and says so in NotStarted.
func (st *start) held() wire.HeldTask {
	held := wire.HeldTask{Key: st.task.Key, Index: st.task.Index, Count: st.task.Count}
	if st.state != ended {
		return held
	}
	held.Outcome, held.Output, held.Error = st.answer.Outcome, st.answer.Output, st.answer.Error
	if st.answer.NotStarted != "" {
		held.Outcome = job.NotStarted
	}
	return held
}
