package dispatch

import (
	"slices"
	"strings"

	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/request/batch"
)

// maxDumpTargets bounds the targets of one service in a dump.
const maxDumpTargets = 1000

// Dump is a copy of the state for operators.
type Dump struct {
	Services []ServiceDump `json:"services"`
	Counts   Counts        `json:"counts"`
}

// ServiceDump is the state of one service.
type ServiceDump struct {
	Service string `json:"service"`
	Jobs    int    `json:"jobs"`
	// Waiting is the number of tasks that wait for a target.
	Waiting int          `json:"waiting_tasks"`
	Targets []TargetDump `json:"targets"`
}

// TargetDump is the state that the entry holds of one target.
type TargetDump struct {
	Node      string            `json:"node"`
	Connected bool              `json:"connected"`
	Closed    wire.ClosedReason `json:"closed,omitempty"`
	// Free is the room that the agent last reported.
	Free batch.Resources `json:"free"`
	Runs int             `json:"runs"`
	// HeardMS is the time since the last message of the agent, in milliseconds.
	HeardMS int64 `json:"heard_ms_ago"`
	// Slowness is the duration of tasks relative to other targets; 1 is usual.
	Slowness float64 `json:"slowness"`
}

// Dump returns a copy of the state. It lists at most maxDumpTargets targets of a
// service.
func (c *Core) Dump() Dump {
	dump := Dump{Counts: c.Counts()}
	for _, p := range c.allPools() {
		dump.Services = append(dump.Services, c.dumpPool(p))
	}
	return dump
}

func (c *Core) dumpPool(p *pool) ServiceDump {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := c.env.Now()
	d := ServiceDump{Service: p.service, Jobs: len(p.jobs)}
	for _, g := range *c.waitingQueue(now, p) {
		d.Waiting += len(g.job.steps[g.step].ready)
	}
	for _, t := range p.targetList {
		if len(d.Targets) == maxDumpTargets {
			break
		}
		d.Targets = append(d.Targets, TargetDump{Node: t.node, Connected: t.connected, Closed: t.state.Closed, Free: t.reportedFree, Runs: len(t.runs),
			HeardMS: now.Sub(t.lastReceived).Milliseconds(), Slowness: p.speeds.Slowness(now, t.speed)})
	}
	slices.SortFunc(d.Targets, func(a, b TargetDump) int { return strings.Compare(a.Node, b.Node) })
	return d
}

// HasAgentContact reports whether the entry is in contact with an agent of any
// service.
func (c *Core) HasAgentContact() bool {
	for _, p := range c.allPools() {
		p.mu.Lock()
		contact := p.hasAgentContact(c.env.Now())
		p.mu.Unlock()
		if contact {
			return true
		}
	}
	return false
}

// WaitingJobs returns the number of jobs of a queue of which no task has started.
func (c *Core) WaitingJobs(service, queue string) int {
	p := c.pool(service)
	p.mu.Lock()
	defer p.mu.Unlock()
	waiting := 0
	for _, j := range p.jobs {
		if j.Queue == queue && j.runsStarted == 0 {
			waiting++
		}
	}
	return waiting
}
