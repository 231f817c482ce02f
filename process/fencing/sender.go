package fencing

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/request/job"
)

// sender is the state that an agent keeps for one entry incarnation. A sequence
// number is open from its arrival until it is settled; a settled one never
// starts a task.
type sender struct {
	entry         wire.Incarnation
	mu            sync.Mutex
	lastMessageAt time.Time
	fenced        bool
	// highWater is the high-water mark. A sequence up to it is settled unless
	// it is in open or in missing. Sequences above it are new.
	highWater uint64
	// open holds the sequences that have arrived and are not settled.
	open map[uint64]*taskRecord
	// missing holds the sequences up to highWater that have not arrived and
	// that the entry has not given up. Messages of a connection arrive in
	// order, so sequences are missing only after a connection was lost.
	missing map[uint64]struct{}
	// archive holds the records of settled tasks that were started, in the
	// order in which they were settled.
	archive []*taskRecord
}

func newSender(entry wire.Incarnation, highWater uint64) *sender {
	return &sender{entry: entry, highWater: highWater, open: make(map[uint64]*taskRecord), missing: make(map[uint64]struct{})}
}

// taskState is the progress of a task at the agent. A refused task is ended.
type taskState uint8

const (
	accepted taskState = iota
	running
	ended
)

// taskRecord is the state of one sequence number of a sender.
type taskRecord struct {
	task  wire.DispatchTask
	state taskState
	// started is set when tryBegin allows the start, and cleared if the target
	// refuses the task.
	started   bool
	cancelled bool
	released  bool
	deadline  time.Time
	endedAt   time.Time
	answer    wire.TaskAnswer
}

// leaseHolds reports whether the lease is valid. A lapsed lease stays lapsed
// until the entry opens a new connection, because other messages set
// lastMessageAt only while the lease is valid.
func (s *sender) leaseHolds(now time.Time, lease time.Duration) bool {
	return now.Sub(s.lastMessageAt) <= lease
}

// settled reports whether the sequence is neither new nor open nor missing.
func (s *sender) settled(seq uint64) bool {
	if seq > s.highWater {
		return false
	}
	_, isOpen := s.open[seq]
	_, isMissing := s.missing[seq]
	return !isOpen && !isMissing
}

// raiseHighWater moves the high-water mark up to seq and adds the sequences
// skipped to missing. It returns false if the sender would then have more open
// and missing sequences than hardWindowFactor allows.
func (s *sender) raiseHighWater(seq uint64, limits Limits) bool {
	if seq <= s.highWater {
		return true
	}
	tracked := len(s.open) + len(s.missing)
	if seq-s.highWater > uint64(max(0, hardWindowFactor*limits.Window-tracked)) {
		return false
	}
	for s.highWater++; s.highWater < seq; s.highWater++ {
		s.missing[s.highWater] = struct{}{}
	}
	return true
}

// admit records a new sequence, refused if reason is not empty. It fences a
// sender that exceeds the hard window, because such a sender ignores the
// window_full refusals.
func (s *sender) admit(now time.Time, task wire.DispatchTask, reason wire.NotStartedReason, limits Limits) Admission {
	if !s.raiseHighWater(task.Seq, limits) {
		s.fence(now)
		return refusal(task, wire.NotStartedFenced)
	}
	delete(s.missing, task.Seq)
	budget := time.Duration(task.BudgetMS) * time.Millisecond
	record := &taskRecord{task: task, deadline: now.Add(budget)}
	s.open[task.Seq] = record
	if reason != "" {
		record.refuse(now, reason)
		return record.admission()
	}
	return Admission{Accepted: true}
}

// tryBegin marks the task as started, or returns the reason why it must not
// start and ends it. It repeats the checks of Guard.Admit, because the task may
// have waited for a slot since.
func (s *sender) tryBegin(now time.Time, record *taskRecord, lease time.Duration) wire.NotStartedReason {
	if record.state != accepted {
		if record.state == ended && record.answer.NotStarted != "" {
			return record.answer.NotStarted
		}
		return wire.NotStartedDuplicate
	}
	var reason wire.NotStartedReason
	switch {
	case s.fenced:
		reason = wire.NotStartedFenced
	case record.cancelled:
		reason = wire.NotStartedCancelled
	case !s.leaseHolds(now, lease):
		reason = wire.NotStartedLease
	case !now.Before(record.deadline):
		reason = wire.NotStartedDeadline
	default:
		record.started = true
		return ""
	}
	record.refuse(now, reason)
	return reason
}

// release settles a sequence that the entry no longer needs. One that is still
// running is settled when it ends.
func (s *sender) release(now time.Time, seq uint64) {
	delete(s.missing, seq)
	record, ok := s.open[seq]
	if !ok {
		return
	}
	record.released = true
	switch record.state {
	case ended:
		s.settle(now, seq, record)
	case accepted:
		record.refuse(now, wire.NotStartedCancelled)
		s.settle(now, seq, record)
	}
}

// settle closes a sequence, and archives its record if the task was started.
func (s *sender) settle(now time.Time, seq uint64, record *taskRecord) {
	delete(s.open, seq)
	if record.started {
		record.endedAt = now
		s.archive = append(s.archive, record)
	}
}

// resume releases every sequence up to high that is not in unreleased.
// Sequences above high were dispatched after the entry wrote the resume
// message.
func (s *sender) resume(now time.Time, high uint64, unreleased []uint64) []wire.TaskAnswer {
	isUnreleased := make(map[uint64]struct{}, len(unreleased))
	for _, seq := range unreleased {
		isUnreleased[seq] = struct{}{}
		if seq > s.highWater {
			s.missing[seq] = struct{}{}
		}
	}
	s.highWater = max(s.highWater, high)
	for seq := range s.missing {
		if _, ok := isUnreleased[seq]; !ok && seq <= high {
			delete(s.missing, seq)
		}
	}
	for _, seq := range slices.Sorted(maps.Keys(s.open)) {
		if _, ok := isUnreleased[seq]; !ok && seq <= high {
			s.release(now, seq)
		}
	}
	return s.endedAnswers(unreleased)
}

// endedAnswers returns the answers of those of the sequences that are open and
// have ended.
func (s *sender) endedAnswers(seqs []uint64) []wire.TaskAnswer {
	var answers []wire.TaskAnswer
	for _, seq := range seqs {
		if record, ok := s.open[seq]; ok && record.state == ended {
			answers = append(answers, record.answer)
		}
	}
	return answers
}

// releaseAll releases every open sequence of a silent sender and gives up the
// missing ones. None of the sequences used so far can start a task afterwards.
func (s *sender) releaseAll(now time.Time) {
	clear(s.missing)
	for _, seq := range slices.Sorted(maps.Keys(s.open)) {
		s.release(now, seq)
	}
}

// fence marks the sender as fenced and refuses every task that has not begun.
func (s *sender) fence(now time.Time) {
	s.fenced = true
	for _, record := range s.open {
		if record.state == accepted {
			record.refuse(now, wire.NotStartedFenced)
		}
	}
}

// heldTasks returns the tasks that were started for the sender and whose
// records are still kept.
func (s *sender) heldTasks() []wire.HeldTask {
	var tasks []wire.HeldTask
	for _, record := range s.archive {
		tasks = append(tasks, record.heldTask())
	}
	for _, seq := range slices.Sorted(maps.Keys(s.open)) {
		if s.open[seq].started {
			tasks = append(tasks, s.open[seq].heldTask())
		}
	}
	return tasks
}

// expire settles ended tasks that no entry needs any more, and removes and
// returns the archived records that are past their retention.
func (s *sender) expire(now time.Time, retention time.Duration) []*taskRecord {
	for _, seq := range slices.Sorted(maps.Keys(s.open)) {
		record := s.open[seq]
		unneeded := record.released || s.fenced && now.Sub(record.endedAt) > retention
		if record.state == ended && unneeded {
			s.settle(now, seq, record)
		}
	}
	expired := 0
	for expired < len(s.archive) && now.Sub(s.archive[expired].endedAt) > retention {
		expired++
	}
	dropped := slices.Clone(s.archive[:expired])
	s.archive = slices.Delete(s.archive, 0, expired) // also clears the pointers to the removed results
	return dropped
}

func (r *taskRecord) id() taskID { return taskID{key: r.task.Key, index: r.task.Index} }

func (r *taskRecord) admission() Admission {
	if r.state != ended {
		return Admission{}
	}
	answer := r.answer
	return Admission{Answer: &answer}
}

func (r *taskRecord) refuse(now time.Time, reason wire.NotStartedReason) {
	r.end(now, wire.TaskAnswer{Seq: r.task.Seq, Attempt: r.task.Attempt, NotStarted: reason})
}

func (r *taskRecord) end(now time.Time, answer wire.TaskAnswer) {
	r.state = ended
	r.endedAt = now
	r.answer = answer
	r.task.Input = nil
}

// heldTask returns the task in the form in which it is sent to a recovering
// entry. If the target refused the task, it was not started, and NotStarted is
// set in the answer.
func (r *taskRecord) heldTask() wire.HeldTask {
	held := wire.HeldTask{Key: r.task.Key, Index: r.task.Index, Count: r.task.Count}
	if r.state != ended {
		return held
	}
	held.Outcome, held.Output, held.Error = r.answer.Outcome, r.answer.Output, r.answer.Error
	if r.answer.NotStarted != "" {
		held.Outcome = job.NotStarted
	}
	return held
}
