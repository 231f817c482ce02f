package quota

import (
	"time"

	"github.com/azurerouter/azurerouter/connection/wire"
)

// loan is a rate that may be used until a time.
type loan struct {
	rate  float64
	until time.Time
}

func (l loan) at(now time.Time) float64 {
	if now.Before(l.until) {
		return l.rate
	}
	return 0
}

// peer is what an entry knows of another one.
type peer struct {
	// sent holds when the recent messages to the peer were sent, by Seq.
	sent    map[uint64]time.Time
	lastSeq uint64
	heard   uint64
	heardAt time.Time
	demand  map[string]loan
	// borrowed is the latest loan from the peer, and statements are all loans
	// to it that may be in use: the peer may have received any one of them.
	borrowed   map[string]loan
	statements map[string][]loan
	// goneAt is when the peer left the list of entries; zero while it is listed.
	goneAt time.Time
}

func newPeer() *peer {
	return &peer{sent: map[uint64]time.Time{}, demand: map[string]loan{}, borrowed: map[string]loan{},
		statements: map[string][]loan{}}
}

// lent returns the largest loan to the peer that may be in use.
func (p *peer) lent(now time.Time, name string) float64 {
	largest := 0.0
	for _, statement := range p.statements[name] {
		largest = max(largest, statement.at(now))
	}
	return largest
}

// state notes a loan before it is sent. It is used for LoanTime from the sending
// of the message that it answers, which was before that message was heard.
func (p *peer) state(now time.Time, name string, rate float64) {
	kept := p.statements[name][:0]
	for _, statement := range p.statements[name] {
		if statement.at(now) > 0 {
			kept = append(kept, statement)
		}
	}
	if rate > 0 {
		kept = append(kept, loan{rate: rate, until: p.heardAt.Add(holdTime)})
	}
	p.statements[name] = kept
}

// Report returns the next message to an entry. It must be sent or dropped, and
// never be sent later: the loans in it are deducted from now on.
func (s *Shares) Report(now time.Time, to wire.Incarnation) Message {
	p := s.peers[to]
	if p == nil {
		return Message{}
	}
	p.lastSeq++
	p.sent[p.lastSeq] = now
	for seq, at := range p.sent {
		if now.Sub(at) > LoanTime {
			delete(p.sent, seq) // A loan in answer to it would have ended.
		}
	}
	m := Message{Seq: p.lastSeq, Echo: p.heard}
	for _, name := range s.names() {
		report := TeamReport{Team: name, Demand: s.demand(now, name)}
		if p.goneAt.IsZero() && p.heard > 0 && now.Sub(p.heardAt) < LoanTime {
			report.Loan = s.offer(now, name, to)
			p.state(now, name, report.Loan)
		}
		if report.Demand > 0 || report.Loan > 0 {
			m.Teams = append(m.Teams, report)
		}
	}
	return m
}

// offer divides what this entry can spare between the entries that lack a share,
// in proportion to what they lack.
func (s *Shares) offer(now time.Time, name string, to wire.Incarnation) float64 {
	spare := s.own(now, name) - s.demand(now, name)*(1+headroom)
	lack, lacks := 0.0, 0.0
	for id, p := range s.peers {
		missing := max(0, p.demand[name].at(now)-s.part(now, name))
		lacks += missing
		if id == to {
			lack = missing
		}
	}
	if spare <= 0 || lack <= 0 {
		return 0
	}
	free := s.own(now, name) - s.lent(now, name, to)
	return max(0, min(lack, spare*lack/lacks, free))
}

// Receive takes a message of another entry into account. A message that arrives
// after a later one of the same sender is ignored.
func (s *Shares) Receive(now time.Time, from wire.Incarnation, m Message) {
	p := s.peers[from]
	if p == nil || m.Seq <= p.heard {
		return
	}
	p.heard, p.heardAt = m.Seq, now
	p.demand, p.borrowed = map[string]loan{}, map[string]loan{}
	requested, known := p.sent[m.Echo]
	for _, report := range m.Teams {
		p.demand[report.Team] = loan{rate: report.Demand, until: now.Add(LoanTime)}
		if known {
			p.borrowed[report.Team] = loan{rate: report.Loan, until: requested.Add(LoanTime)}
		}
	}
}
