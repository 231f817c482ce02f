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

// quotaState is this entry's share of the team quotas.
type quotaState struct {
	mu     sync.Mutex
	shares *quota.Shares
	// hasQuotas is set if any team has a quota.
	hasQuotas    bool
	nextReportAt time.Time
}

func (s *quotaState) configure(teams map[string]config.Team) {
	quotas := make(map[string]quota.Quota, len(teams))
	for name, team := range teams {
		quotas[name] = quota.Quota{Rate: float64(team.StartsPerSecond), Burst: float64(team.Burst)}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hasQuotas = len(quotas) > 0
	s.shares.SetQuotas(quotas)
}

// settling reports whether this entry may not use its share yet. Until
// quota.SettleTime after its start, other entries may use loans that were made
// before they knew of this entry.
func (s *quotaState) settling(now, started time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hasQuotas && now.Sub(started) < quota.SettleTime
}

// takeQuota charges the task starts of a submission to its team. It returns a
// refusal if the team is over its quota.
func (c *Core) takeQuota(now time.Time, sub *job.Submission) *refusal.Error {
	c.quotas.mu.Lock()
	defer c.quotas.mu.Unlock()
	if c.quotas.shares.Take(now, sub.Team, len(sub.Inputs)) {
		return nil
	}
	return refusal.New(refusal.OverQuota, "quota", "team %q is over its quota of task starts", sub.Team).WithRetryAfter(time.Second)
}

// SetEntries replaces the list of known entries, which share the append budget
// and the team quotas. An entry that is only silent has to stay in the list.
func (c *Core) SetEntries(entries []wire.Incarnation) {
	c.setEntryCount(len(entries))
	c.quotas.mu.Lock()
	defer c.quotas.mu.Unlock()
	c.quotas.shares.SetEntries(c.env.Now(), entries)
}

// reportQuotas sends the demand at this entry and its loans to every connected
// entry.
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
	if c.quotas.hasQuotas && !now.Before(c.quotas.nextReportAt) {
		c.quotas.nextReportAt = now.Add(quota.ReportInterval)
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
	out := &wire.Quota{Seq: m.Seq, EchoSeq: m.Echo}
	for _, team := range m.Teams {
		out.Shares = append(out.Shares, wire.QuotaShare{Team: team.Team, Demand: team.Demand, Loan: team.Loan})
	}
	return out
}

func (c *Core) handleQuota(now time.Time, from wire.Incarnation, m *wire.Quota) {
	in := quota.Message{Seq: m.Seq, Echo: m.EchoSeq}
	for _, share := range m.Shares {
		in.Teams = append(in.Teams, quota.TeamReport{Team: share.Team, Demand: share.Demand, Loan: share.Loan})
	}
	c.quotas.mu.Lock()
	defer c.quotas.mu.Unlock()
	c.quotas.shares.Receive(now, from, in)
}
