package quota

import (
	"time"

	"github.com/azurerouter/azurerouter/connection/wire"
)

// loan is a rate, per second, that is valid until expiresAt. It also holds a
// peer's demand, which expires in the same way.
type loan struct {
	rate      float64
	expiresAt time.Time
}

// rateAt returns the rate, or 0 after the expiry.
func (l loan) rateAt(now time.Time) float64 {
	if now.Before(l.expiresAt) {
		return l.rate
	}
	return 0
}

// peer is the state that an entry keeps about another one.
type peer struct {
	// sentAt holds when the recent messages to the peer were sent, by Seq.
	sentAt          map[uint64]time.Time
	lastSentSeq     uint64
	lastReceivedSeq uint64
	lastReceivedAt  time.Time
	demand          map[string]loan
	// borrowed holds the latest loan from the peer. loansToPeer holds all loans
	// to it that may be in use, because the peer may have received any of them.
	borrowed    map[string]loan
	loansToPeer map[string][]loan
	// removedAt is when the peer left the list of entries; zero while it is
	// listed.
	removedAt time.Time
}

func newPeer() *peer {
	return &peer{sentAt: map[uint64]time.Time{}, demand: map[string]loan{}, borrowed: map[string]loan{},
		loansToPeer: map[string][]loan{}}
}

// maxLent returns the largest loan to the peer that may be in use.
func (p *peer) maxLent(now time.Time, name string) float64 {
	largest := 0.0
	for _, recorded := range p.loansToPeer[name] {
		largest = max(largest, recorded.rateAt(now))
	}
	return largest
}

// recordLoan records a loan before it is sent. The peer may use it for LoanTime
// from when it sent the message that the loan answers, and that was before this
// entry received the message.
func (p *peer) recordLoan(now time.Time, name string, rate float64) {
	kept := p.loansToPeer[name][:0]
	for _, recorded := range p.loansToPeer[name] {
		if recorded.rateAt(now) > 0 {
			kept = append(kept, recorded)
		}
	}
	if rate > 0 {
		kept = append(kept, loan{rate: rate, expiresAt: p.lastReceivedAt.Add(lenderHoldTime)})
	}
	p.loansToPeer[name] = kept
}

// Report returns the next message to an entry. It must be sent at once or
// dropped, because the loans in it are deducted from now on.
func (s *Shares) Report(now time.Time, to wire.Incarnation) Message {
	p := s.peers[to]
	if p == nil {
		return Message{}
	}
	p.lastSentSeq++
	p.sentAt[p.lastSentSeq] = now
	for seq, sentAt := range p.sentAt {
		if now.Sub(sentAt) > LoanTime {
			delete(p.sentAt, seq) // A loan that answers it would have expired.
		}
	}
	m := Message{Seq: p.lastSentSeq, Echo: p.lastReceivedSeq}
	for _, name := range s.teamNames() {
		report := TeamReport{Team: name, Demand: s.demand(now, name)}
		if p.removedAt.IsZero() && p.lastReceivedSeq > 0 && now.Sub(p.lastReceivedAt) < LoanTime {
			report.Loan = s.loanFor(now, name, to)
			p.recordLoan(now, name, report.Loan)
		}
		if report.Demand > 0 || report.Loan > 0 {
			m.Teams = append(m.Teams, report)
		}
	}
	return m
}

// loanFor returns the loan for one entry. What this entry can spare is divided
// between the entries whose demand exceeds their share, in proportion to the
// shortfall.
func (s *Shares) loanFor(now time.Time, name string, to wire.Incarnation) float64 {
	spare := s.ownRate(now, name) - s.demand(now, name)*(1+lenderHeadroom)
	shortfall, totalShortfall := 0.0, 0.0
	for id, p := range s.peers {
		peerShortfall := max(0, p.demand[name].rateAt(now)-s.equalShare(now, name))
		totalShortfall += peerShortfall
		if id == to {
			shortfall = peerShortfall
		}
	}
	if spare <= 0 || shortfall <= 0 {
		return 0
	}
	unlent := s.ownRate(now, name) - s.lentToOthers(now, name, to)
	return max(0, min(shortfall, spare*shortfall/totalShortfall, unlent))
}

// Receive processes a message of another entry. A message that arrives after a
// later one of the same sender is ignored.
func (s *Shares) Receive(now time.Time, from wire.Incarnation, m Message) {
	p := s.peers[from]
	if p == nil || m.Seq <= p.lastReceivedSeq {
		return
	}
	p.lastReceivedSeq, p.lastReceivedAt = m.Seq, now
	p.demand, p.borrowed = map[string]loan{}, map[string]loan{}
	echoSentAt, known := p.sentAt[m.Echo]
	for _, report := range m.Teams {
		p.demand[report.Team] = loan{rate: report.Demand, expiresAt: now.Add(LoanTime)}
		if known {
			p.borrowed[report.Team] = loan{rate: report.Loan, expiresAt: echoSentAt.Add(LoanTime)}
		}
	}
}
