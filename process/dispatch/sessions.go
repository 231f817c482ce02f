package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/azurerouter/azurerouter/connection/wire"
)

// Pauses between the messages of sessions that are not active. They grow with the
// number of processes, so that what a process spends on its sessions does not.
const (
	idleRenewPerAgent = 8 * time.Millisecond
	idleRenewPerEntry = 60 * time.Millisecond
	maxIdleRenew      = 3 * time.Second
	// idleRenewsMissed is the number of pauses without a message after which an
	// agent is taken to be gone.
	idleRenewsMissed = 3
	// replyAfter is the time since the last message to a process after which its
	// messages are answered at once.
	replyAfter = wire.SessionRenewInterval / 2
)

const (
	// maxAnnouncements bounds the targets to which waiting tasks are announced.
	// More would only send more invitations for the same tasks.
	maxAnnouncements = 16
	// minAnnouncements is the number of targets to which a pass announces waiting
	// tasks, in addition to one for each waiting step. Several are asked because
	// others may have filled a target since its last message.
	minAnnouncements = 2
	// declinePause is the time after an invitation that came to nothing, though there was
	// room for the announced tasks, in which no tasks are announced to the target. Its
	// agent does not know why they can't run there and would invite the entry again.
	declinePause = wire.SessionRenewInterval
	// contactPause is the time without a message of any agent after which some are
	// asked for one, contactProbes the number of agents that are asked.
	contactPause  = 2 * maxReportAge
	contactProbes = 3
)

// SetEntryCount sets the number of entries that hold sessions with the same agents.
func (c *Core) SetEntryCount(entries int) { c.entryCount.Store(int64(entries)) }

// idleRenewInterval returns the pause between two messages of a session of the pool
// that is not active.
func (c *Core) idleRenewInterval(p *pool) time.Duration {
	byAgents := time.Duration(len(p.targetList)) * idleRenewPerAgent
	byEntries := time.Duration(c.entryCount.Load()) * idleRenewPerEntry
	return min(max(wire.SessionRenewInterval, byAgents, byEntries), maxIdleRenew)
}

// active reports whether the session must be renewed at short intervals.
func (t *target) active() bool { return len(t.runs) > 0 || t.waitingAnnounced }

// renewSession sends a message if the last one was sent too long ago. The agent sends
// the first message of each renewal of a session that is not active; the entry only
// answers unless that message stays away.
func (c *Core) renewSession(now time.Time, p *pool, t *target) {
	interval := wire.SessionRenewInterval
	if !t.active() {
		interval = c.idleRenewInterval(p) + replyAfter
	}
	if t.connected && now.Sub(t.lastSent) >= interval {
		c.send(now, p, t, &wire.Orders{Waiting: c.announcedWaiting(now, p, t)})
	}
}

// isUsable reports whether the target is open and has been heard of recently enough to
// be asked for room. It may get orders only once acceptsOrders is true.
func (c *Core) isUsable(now time.Time, p *pool, t *target) bool {
	limit := max(maxReportAge, idleRenewsMissed*c.idleRenewInterval(p))
	return t.connected && !t.sessionRefused && c.isOpen(t) && now.Sub(t.lastReceived) <= limit
}

// keepContact asks some agents for a message if none has sent one for contactPause,
// so that isolation is detected within isolatedAfter however many agents there are.
func (c *Core) keepContact(now time.Time, p *pool) {
	if now.Sub(p.lastReceived) < contactPause || now.Sub(p.lastProbe) < wire.SessionRenewInterval || len(p.targetList) == 0 {
		return
	}
	p.lastProbe = now
	first := p.random.IntN(len(p.targetList))
	for i := range min(contactProbes, len(p.targetList)) {
		if t := p.targetList[(first+i)%len(p.targetList)]; t.connected {
			c.send(now, p, t, &wire.Orders{Waiting: c.announcedWaiting(now, p, t)})
		}
	}
}

// announceWaiting sends the waiting tasks to targets, so that their agents report or
// invite this entry when there is room: first to those that had room when they were
// last heard of, then to those of this zone.
func (c *Core) announceWaiting(now time.Time, p *pool, waiting *wire.Waiting, groups int) {
	announced := 0
	for _, t := range p.targetList {
		if t.waitingAnnounced {
			announced++
		}
	}
	wanted := min(maxAnnouncements-announced, minAnnouncements+groups)
	if wanted <= 0 {
		return
	}
	for _, t := range c.announcementOrder(now, p, waiting) {
		if wanted == 0 {
			return
		}
		c.send(now, p, t, &wire.Orders{Waiting: waiting})
		wanted--
	}
}

// announcementOrder returns the targets to which the waiting tasks have not been
// announced, the most promising first.
func (c *Core) announcementOrder(now time.Time, p *pool, waiting *wire.Waiting) []*target {
	type candidate struct {
		target *target
		rank   int
		random uint64
	}
	var candidates []candidate
	for _, t := range p.targetList {
		if t.waitingAnnounced || !c.isUsable(now, p, t) || now.Sub(t.declinedAt) < declinePause {
			continue
		}
		rank := 0
		if !waiting.Smallest.FitsIn(t.expectedFree()) {
			rank += 2
		}
		if t.zone != c.zone {
			rank++
		}
		candidates = append(candidates, candidate{t, rank, p.random.Uint64()})
	}
	slices.SortFunc(candidates, func(a, b candidate) int { return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.random, b.random)) })
	targets := make([]*target, len(candidates))
	for i := range candidates {
		targets[i] = candidates[i].target
	}
	return targets
}
