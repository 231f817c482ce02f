package observe

import (
	"sync/atomic"
	"time"
)

// Work is a kind of work on which a process spends its time.
type Work int

// Values of Work.
const (
	// WorkRequests is the handling of submissions and of their responses.
	WorkRequests Work = iota
	// WorkReports is the handling of messages from agents.
	WorkReports
	// WorkEntries is the handling of messages from other entries.
	WorkEntries
	// WorkRenewals is the renewal of sessions with agents, WorkPasses the periodic
	// assignment of waiting tasks.
	WorkRenewals
	WorkPasses
	// WorkKinds is the number of kinds.
	WorkKinds
)

// String returns the value of TagWork.
func (w Work) String() string {
	return [WorkKinds]string{"requests", "reports", "entries", "renewals", "passes"}[w]
}

// WorkMeter adds up the time spent on each kind of work, from its begin to its end: a
// process without processor time spends more on the same work, so that only the shares of
// the kinds compare. It is safe for concurrent use.
type WorkMeter struct{ spent [WorkKinds]atomic.Int64 }

// Add counts work that began at start and ends now.
func (m *WorkMeter) Add(w Work, start time.Time) { m.spent[w].Add(int64(time.Since(start))) }

// Spent returns the time spent on a kind of work.
func (m *WorkMeter) Spent(w Work) time.Duration { return time.Duration(m.spent[w].Load()) }
