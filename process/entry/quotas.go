package entry

import (
	"sync"
	"time"

	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/process/quota"
	"github.com/azurerouter/azurerouter/request/job"
	"github.com/azurerouter/azurerouter/request/refusal"
	"github.com/azurerouter/azurerouter/version/config"
)

// quotaState is this entry's part of the team quotas.
type quotaState struct {
	mu     sync.Mutex
	shares *quota.Shares
	// limited is set once a team has a quota.
	limited    bool
	nextReport time.Time
}

func (s *quotaState) configure(teams map[string]config.Team) {
	quotas := make(map[string]quota.Quota, len(teams))
	for name, team := range teams {
		quotas[name] = quota.Quota{Rate: float64(team.StartsPerSecond), Burst: float64(team.Burst)}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limited = len(quotas) > 0
	s.shares.SetQuotas(quotas)
}

// settling reports whether this entry may not use its share yet, because loans
// may be in use that others made before they knew of it.
func (s *quotaState) settling(now, started time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.limited && now.Sub(started) < quota.SettleTime
}

// takeQuota charges the task starts of a submission to its team.
func (c *Core) takeQuota(now time.Time, sub *job.Submission) *refusal.Error {
	c.quotas.mu.Lock()
	defer c.quotas.mu.Unlock()
	if c.quotas.shares.Take(now, sub.Team, len(sub.Inputs)) {
		return nil
	}
	return refusal.New(refusal.OverQuota, "quota", "team %q is over its quota of task starts", sub.Team).After(time.Second)
}

// SetEntries replaces the known entries: they share the append budget and the
// team quotas. An entry that is only silent stays in the list.
func (c *Core) SetEntries(entries []wire.Incarnation) {
	c.setClaimers(len(entries))
	c.quotas.mu.Lock()
	defer c.quotas.mu.Unlock()
	c.quotas.shares.SetEntries(c.env.Now(), entries)
}

// reportQuotas tells every connected entry the demand here and what is lent.
func (c *Core) reportQuotas(now time.Time) {
	c.peers.mu.Lock()
	entries := c.peers.connectedEntries()
	c.peers.mu.Unlock()
	type outgoing struct {
		to wire.Incarnation
		m  *wire.Quota
	}
	var out []outgoing
	c.quotas.mu.Lock()
	if c.quotas.limited && !now.Before(c.quotas.nextReport) {
		c.quotas.nextReport = now.Add(quota.ReportInterval)
		for _, id := range entries {
			out = append(out, outgoing{id, quotaMessage(c.quotas.shares.Report(now, id))})
		}
	}
	c.quotas.mu.Unlock()
	for _, o := range out {
		c.env.SendEntry(o.to, o.m)
	}
}

func quotaMessage(m quota.Message) *wire.Quota {
	out := &wire.Quota{Seq: m.Seq, Echo: m.Echo}
	for _, team := range m.Teams {
		out.Shares = append(out.Shares, wire.QuotaShare{Team: team.Team, Demand: team.Demand, Loan: team.Loan})
	}
	return out
}

func (c *Core) quotaReceived(now time.Time, from wire.Incarnation, m *wire.Quota) {
	in := quota.Message{Seq: m.Seq, Echo: m.Echo}
	for _, share := range m.Shares {
		in.Teams = append(in.Teams, quota.TeamReport{Team: share.Team, Demand: share.Demand, Loan: share.Loan})
	}
	c.quotas.mu.Lock()
	defer c.quotas.mu.Unlock()
	c.quotas.shares.Receive(now, from, in)
}
