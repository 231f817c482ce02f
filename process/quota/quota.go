// Package quota shares team quotas between entries. Each entry owns an equal
// part of every quota and lends what it does not use to entries that need more.
// The package performs no input or output: the caller passes in the times and
// sends the messages. A Shares is not safe for concurrent use.
package quota

import (
	"sort"
	"time"

	"github.com/azurerouter/azurerouter/connection/wire"
)

const (
	// ReportInterval is the time between two messages to the same entry.
	ReportInterval = 500 * time.Millisecond
	// LoanTime is how long a loan may be used, counted from the sending of the
	// request that it answers. It is long enough to outlast a lost message, and
	// it ends before an entry that sends nothing is declared dead.
	LoanTime = 2 * time.Second
	// lenderHoldTime is how long the lender does not use a rate that it has
	// lent. It exceeds LoanTime by more than the clocks of two machines drift
	// apart.
	lenderHoldTime = LoanTime * 21 / 20
	// lenderHeadroom is what a lender keeps of its own share beyond its demand,
	// as a share of the demand.
	lenderHeadroom = 0.25
)

// Message is sent by each entry to every other one every ReportInterval.
type Message struct {
	// Seq numbers the messages of a sender to a receiver. Echo is the highest
	// Seq that the sender has received from the receiver.
	Seq, Echo uint64
	Teams     []TeamReport
}

// TeamReport is the part of a message that concerns one team.
type TeamReport struct {
	Team string
	// Demand is the rate of task starts that the sender's callers request, per
	// second.
	Demand float64
	// Loan is the rate that the receiver may add to its own, per second. It may
	// use it for LoanTime, counted from when it sent the message with number
	// Echo.
	Loan float64
}

// Quota limits the task starts of a team over all entries together.
type Quota struct {
	// Rate is in task starts per second.
	Rate float64
	// Burst is the number of starts that a team may save up over all entries.
	// Each entry saves up the same share of it as its rate has of Rate.
	Burst float64
}

// Shares holds the part of each quota that one entry may use.
type Shares struct {
	self wire.Incarnation
	// usableFrom is when this entry may begin to use its own share.
	usableFrom time.Time
	quotas     map[string]Quota
	peers      map[wire.Incarnation]*peer
	teams      map[string]*teamUsage
}

// SettleTime is the time after New during which an entry may not start any task
// of a team with a quota.
const SettleTime = lenderHoldTime

// New returns the shares of an entry that starts now. The entry uses its own
// share only after the end of the loans that other entries made before they had
// this entry in their list.
func New(now time.Time, self wire.Incarnation) *Shares {
	return &Shares{
		self:       self,
		usableFrom: now.Add(lenderHoldTime),
		quotas:     map[string]Quota{},
		peers:      map[wire.Incarnation]*peer{},
		teams:      map[string]*teamUsage{},
	}
}

// SetQuotas replaces the quotas. A team without a quota is not limited. Negative
// rates and bursts count as 0.
func (s *Shares) SetQuotas(quotas map[string]Quota) {
	s.quotas = make(map[string]Quota, len(quotas))
	for name, q := range quotas {
		s.quotas[name] = Quota{Rate: max(0, q.Rate), Burst: max(0, q.Burst)}
	}
	for name := range s.teams {
		if _, limited := s.quotas[name]; !limited {
			delete(s.teams, name)
		}
	}
}

// SetEntries replaces the list of known entries. An entry from which no messages
// arrive must stay in the list, because it may still use its share. It may be
// removed only after it has stopped or can no longer start any task.
func (s *Shares) SetEntries(now time.Time, entries []wire.Incarnation) {
	listed := map[wire.Incarnation]bool{}
	for _, id := range entries {
		listed[id] = true
		if id == s.self {
			continue
		}
		if s.peers[id] == nil {
			s.peers[id] = newPeer()
		}
		s.peers[id].removedAt = time.Time{}
	}
	for id, p := range s.peers {
		if !listed[id] && p.removedAt.IsZero() {
			p.removedAt = now
		}
	}
}

// Take requests the start of some tasks. It returns false if the team has used
// up its share. A job that exceeds the tokens left is accepted and makes them
// negative, so that no job is too large for a small share. Nothing more is
// accepted until they are positive again.
func (s *Shares) Take(now time.Time, name string, tasks int) bool {
	q, limited := s.quotas[name]
	if !limited {
		return true
	}
	t := s.teamUsage(now, name)
	t.recordDemand(now, tasks)
	rate := s.Rate(now, name)
	capacity := 0.0
	if q.Rate > 0 {
		capacity = q.Burst * rate / q.Rate
	}
	return t.take(now, rate, capacity, tasks)
}

// Rate returns the rate of task starts that this entry may use now, per second:
// its own share, less what it has lent, plus what it has borrowed. It is 0 for a
// team without a quota.
func (s *Shares) Rate(now time.Time, name string) float64 {
	rate := max(0, s.ownRate(now, name)-s.lentToOthers(now, name, s.self))
	for _, p := range s.peers {
		rate += p.borrowed[name].rateAt(now)
	}
	return rate
}

// ownRate returns this entry's equal share of a quota, before loans. It is 0
// during the SettleTime.
func (s *Shares) ownRate(now time.Time, name string) float64 {
	if now.Before(s.usableFrom) {
		return 0
	}
	return s.equalShare(now, name)
}

// equalShare returns the rate of a quota divided by the number of entries.
func (s *Shares) equalShare(now time.Time, name string) float64 {
	s.dropRemovedPeers(now)
	return s.quotas[name].Rate / float64(1+len(s.peers))
}

// dropRemovedPeers deletes entries that left the list. Each stays for
// lenderHoldTime, so that the loans that it made end before its share is
// divided.
func (s *Shares) dropRemovedPeers(now time.Time) {
	for id, p := range s.peers {
		if !p.removedAt.IsZero() && now.Sub(p.removedAt) >= lenderHoldTime {
			delete(s.peers, id)
		}
	}
}

// lentToOthers returns the rate that this entry has lent to all entries except
// one.
func (s *Shares) lentToOthers(now time.Time, name string, except wire.Incarnation) float64 {
	sum := 0.0
	for id, p := range s.peers {
		if id != except {
			sum += p.maxLent(now, name)
		}
	}
	return sum
}

// teamUsage returns the usage of a team and creates it if there is none.
func (s *Shares) teamUsage(now time.Time, name string) *teamUsage {
	t := s.teams[name]
	if t == nil {
		// A new team starts with the tokens saved up since the entry became
		// usable.
		t = &teamUsage{refilledAt: s.usableFrom, windowStart: now}
		s.teams[name] = t
	}
	return t
}

// teamNames returns the teams with a quota, sorted.
func (s *Shares) teamNames() []string {
	names := make([]string, 0, len(s.quotas))
	for name := range s.quotas {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
