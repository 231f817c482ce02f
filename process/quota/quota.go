// Package quota shares team quotas between entries. Each entry owns an equal
// part of every quota and lends what it does not use to entries that need more.
// The package is pure: times are passed in, and the caller sends the messages. A
// Shares is not safe for concurrent use.
package quota

import (
	"sort"
	"time"

	"github.com/azurerouter/azurerouter/connection/wire"
)

const (
	// ReportInterval is the time between two messages to the same entry.
	ReportInterval = 500 * time.Millisecond
	// LoanTime is how long a loan may be used, counted from the request that it
	// answers. It outlasts a lost message and ends before an entry that is
	// silent counts as dead.
	LoanTime = 2 * time.Second
	// holdTime is how long the lender does without a loan. It is longer than
	// LoanTime by more than the clocks of two machines drift apart.
	holdTime = LoanTime * 21 / 20
	// headroom is what a lender keeps of its own share beyond its demand, as a
	// share of the demand.
	headroom = 0.25
)

// Message goes from one entry to another every ReportInterval.
type Message struct {
	// Seq numbers the messages of a sender to a receiver. Echo is the highest
	// Seq that the sender has received from the receiver.
	Seq, Echo uint64
	Teams     []TeamReport
}

// TeamReport is the part of a message that concerns one team.
type TeamReport struct {
	Team string
	// Demand is the rate of task starts that the sender's callers want, per
	// second.
	Demand float64
	// Loan is the rate that the receiver may add to its own, per second, for
	// LoanTime from the time at which it sent the message Echo.
	Loan float64
}

// Quota limits the task starts of a team over all entries together.
type Quota struct {
	// Rate is in task starts per second.
	Rate float64
	// Burst is the number of starts that a team may save up. An entry saves
	// up the part of it that its rate is of the whole.
	Burst float64
}

// Shares is the part of each quota that one entry may use.
type Shares struct {
	self   wire.Incarnation
	usable time.Time
	quotas map[string]Quota
	peers  map[wire.Incarnation]*peer
	teams  map[string]*team
}

// SettleTime is the time after New in which an entry may start nothing for teams
// with quotas.
const SettleTime = holdTime

// New returns the shares of an entry that starts now. It uses its own share
// only after the loans that others made without knowing it have ended.
func New(now time.Time, self wire.Incarnation) *Shares {
	return &Shares{
		self:   self,
		usable: now.Add(holdTime),
		quotas: map[string]Quota{},
		peers:  map[wire.Incarnation]*peer{},
		teams:  map[string]*team{},
	}
}

// SetQuotas replaces the quotas. A team without a quota is not limited.
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

// SetEntries replaces the list of known entries. An entry that is only silent
// must stay in the list, because it may still use its share; it is left out once
// it has stopped or can start nothing any more.
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
		s.peers[id].goneAt = time.Time{}
	}
	for id, p := range s.peers {
		if !listed[id] && p.goneAt.IsZero() {
			p.goneAt = now
		}
	}
}

// Take asks for the start of some tasks. It reports false if the team has used
// up its share. A job that is larger than what is left is accepted and paid off
// before the next one, so that no job is too large for a small share.
func (s *Shares) Take(now time.Time, name string, tasks int) bool {
	q, limited := s.quotas[name]
	if !limited {
		return true
	}
	t := s.team(now, name)
	t.want(now, tasks)
	rate := s.Rate(now, name)
	capacity := 0.0
	if q.Rate > 0 {
		capacity = q.Burst * rate / q.Rate
	}
	return t.take(now, rate, capacity, tasks)
}

// Rate returns the rate of task starts that this entry may use now, per second:
// its own share without what it lent, and what it borrowed. It is 0 for a team
// without a quota.
func (s *Shares) Rate(now time.Time, name string) float64 {
	rate := max(0, s.own(now, name)-s.lent(now, name, s.self))
	for _, p := range s.peers {
		rate += p.borrowed[name].at(now)
	}
	return rate
}

// own returns the entry's part of a quota before loans.
func (s *Shares) own(now time.Time, name string) float64 {
	if now.Before(s.usable) {
		return 0
	}
	return s.part(now, name)
}

func (s *Shares) part(now time.Time, name string) float64 {
	s.forgetGone(now)
	return s.quotas[name].Rate / float64(1+len(s.peers))
}

// forgetGone drops entries that left the list. Each counts for holdTime more, so
// that loans which it made to others end before its share is divided.
func (s *Shares) forgetGone(now time.Time) {
	for id, p := range s.peers {
		if !p.goneAt.IsZero() && now.Sub(p.goneAt) >= holdTime {
			delete(s.peers, id)
		}
	}
}

// lent returns what this entry does without for the sake of all other entries
// but one.
func (s *Shares) lent(now time.Time, name string, but wire.Incarnation) float64 {
	sum := 0.0
	for id, p := range s.peers {
		if id != but {
			sum += p.lent(now, name)
		}
	}
	return sum
}

func (s *Shares) team(now time.Time, name string) *team {
	t := s.teams[name]
	if t == nil {
		// A team that was not seen before has saved up since the entry became
		// usable.
		t = &team{filled: s.usable, windowStart: now}
		s.teams[name] = t
	}
	return t
}

func (s *Shares) names() []string {
	names := make([]string, 0, len(s.quotas))
	for name := range s.quotas {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
