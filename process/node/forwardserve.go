package node

import (
	"sync"
	"time"

	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/process/clock"
	"github.com/azurerouter/azurerouter/process/dispatch"
	"github.com/azurerouter/azurerouter/process/observe"
)

// servedJobs holds the jobs that this entry carries out for the one at the other end of a
// connection, by the numbers of the calls. The zero value is empty.
type servedJobs struct {
	mu sync.Mutex
	// leave holds the functions that remove the caller of a job. It is nil until the job has
	// been submitted.
	leave map[uint64]func()
	ended bool
}

// begin adds a call. It reports false if the connection has ended.
func (s *servedJobs) begin(number uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return false
	}
	if s.leave == nil {
		s.leave = make(map[uint64]func())
	}
	s.leave[number] = nil
	return true
}

// submitted sets how the caller of a call is removed. It reports false if the call has
// already been removed.
func (s *servedJobs) submitted(number uint64, leave func()) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, open := s.leave[number]; !open {
		return false
	}
	s.leave[number] = leave
	return true
}

// remove removes a call. It reports whether it was there.
func (s *servedJobs) remove(number uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, open := s.leave[number]
	delete(s.leave, number)
	return open
}

// removeAll removes all calls and returns them. end refuses further ones.
func (s *servedJobs) removeAll(end bool) map[uint64]func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	calls := s.leave
	s.leave, s.ended = nil, s.ended || end
	return calls
}

func (s *servedJobs) any() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.leave) > 0
}

// takesForwarded reports whether this entry carries out submissions of others now.
func (e *Entry) takesForwarded() bool { return e.forwarder.load().SpareMilliCPU > 0 }

// serveForwarded carries out a submission of another entry and sends it the result.
func (l *processLink) serveForwarded(call *wire.JobCall) {
	e := l.entry
	start := time.Now()
	if call.Submission == nil || call.Submission.Job.Validate() != nil || !e.takesForwarded() || !l.served.begin(call.Number) {
		l.send(&wire.JobReply{Number: call.Number, Code: wire.JobDeclined, Load: e.forwarder.load()})
		return
	}
	e.shedder.guard.Count()
	e.metrics.taken.Inc(1)
	s := *call.Submission
	s.CallerWaits = l.originIsAlive
	leave := e.Core.Submit(s, func(r dispatch.Result) {
		if l.served.remove(call.Number) {
			l.sendResult(call.Number, r)
		}
	})
	if !l.served.submitted(call.Number, leave) {
		// It was answered at once, or its caller has left meanwhile.
		leave()
	}
	e.work.Add(observe.WorkRequests, start)
}

// originIsAlive reports whether the entry that has forwarded submissions on this connection
// has been heard of so recently that it still waits for them.
func (l *processLink) originIsAlive() bool { return clock.Now().Sub(l.LastHeard()) <= wire.SessionTTL }

func (l *processLink) sendResult(number uint64, r dispatch.Result) {
	l.send(&wire.JobReply{Number: number, Code: string(r.Code), Reason: string(r.Reason), RetryAfterMS: r.RetryAfter.Milliseconds(), Load: l.entry.forwarder.load()})
}

// leaveServed stops the jobs of an entry that has been silent, and tells it so in case that
// only its messages do not arrive.
func (l *processLink) leaveServed() {
	for number, leave := range l.served.removeAll(false) {
		if leave != nil {
			leave()
		}
		l.sendResult(number, dispatch.Result{Code: dispatch.GaveUp, Reason: dispatch.ReasonCallerLeft})
	}
}

// endServed stops the jobs of the entry at the other end of a connection that has ended.
func (l *processLink) endServed() {
	for _, leave := range l.served.removeAll(true) {
		if leave != nil {
			leave()
		}
	}
}

// servesForwarded reports whether this entry carries out a submission of another one.
func (e *Entry) servesForwarded() bool {
	for _, l := range e.entryLinks() {
		if l.served.any() {
			return true
		}
	}
	return false
}
