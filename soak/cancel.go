package soak

import (
	"bytes"
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/azurerouter/azurerouter/connection/target"
	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/process/entry"
	"github.com/azurerouter/azurerouter/request/job"
)

// CancelOptions configure a run in which many callers disconnect at the same
// moment.
type CancelOptions struct {
	Seed     uint64
	Requests int
	Entries  int
	Agents   int
	// DisconnectAfter is the virtual time from the submission of all requests to
	// the moment at which their callers disconnect.
	DisconnectAfter time.Duration
}

// CancelResult holds the state at the moment at which the callers disconnect, and
// the messages and times until all their tasks are gone. Times are measured from
// that moment, with a resolution of cancelPollInterval.
type CancelResult struct {
	// QueuedAtEntries, QueuedAtAgents and RunningTasks are the numbers of tasks
	// in the queues of the entries, in the queues of the agents and in the slots
	// at that moment.
	QueuedAtEntries, QueuedAtAgents, RunningTasks int
	// MessageCounts counts, by hop and type, the messages sent from that moment
	// until everything is free.
	MessageCounts map[string]int
	// EntryQueuesFree, AgentsFree and TargetCallsFree are the times until the
	// queues of the entries are empty, the slots and queues of the agents are
	// empty, and no call to a target is open. OutstandingFree is the time until
	// the entries count no outstanding task at any target.
	EntryQueuesFree, AgentsFree, TargetCallsFree, OutstandingFree time.Duration
	// RepliedBefore is the number of requests that were answered or refused
	// before that moment.
	RepliedBefore int
	// Violations describes each broken guarantee with its virtual time.
	Violations []string
}

const (
	// cancelTeamName is a team without a quota. A quota would refuse most of the
	// requests.
	cancelTeamName     = "wave"
	cancelPollInterval = 100 * time.Microsecond
	// cancelConnectTime lets the processes connect before the requests arrive.
	cancelConnectTime = 3 * time.Second
	// cancelTimeout ends a run in which some tasks are never removed.
	cancelTimeout = time.Minute
	// cancelDeadline is longer than the smallest run would take to work through its
	// queue.
	cancelDeadline = 10 * time.Minute
)

// cancelMonitor counts the open target calls, and the messages that are sent after
// the callers disconnected.
type cancelMonitor struct {
	sim           *simulation
	active        bool
	messageCounts map[string]int
	// targetCalls is the number of open calls to targets.
	targetCalls int
	// disconnects holds, for each request, the function that disconnects its
	// caller.
	disconnects []func()
	// repliedBefore counts the replies before active is set.
	repliedBefore int
}

// countMessage counts a message between processes.
func (c *cancelMonitor) countMessage(to *connEnd, m wire.Message) {
	hop := "entry to agent"
	for _, e := range c.sim.entries {
		if e.process == to.process {
			hop = "agent to entry"
			if to.other().process.isEntry() {
				hop = "entry to entry"
			}
		}
	}
	c.increment(hop + ": " + wire.KindName(m))
}

// isEntry reports whether the process is the current incarnation of an entry.
func (p *process) isEntry() bool {
	for _, e := range p.sim.entries {
		if e.process == p {
			return true
		}
	}
	return false
}

// increment adds one to a count if the callers have disconnected.
func (c *cancelMonitor) increment(label string) {
	if c.active {
		c.messageCounts[label]++
	}
}

// runTask runs a task at the fake target and counts it as an open call meanwhile.
func (c *cancelMonitor) runTask(n *agentNode, call target.Call, done func(target.Result)) func() {
	c.targetCalls++
	cancel := c.sim.runTask(n, call, func(result target.Result) {
		c.targetCalls--
		done(result)
	})
	return func() {
		c.increment("agent to target: closed call")
		cancel()
	}
}

// RunCancel submits unkeyed requests to the real cores all at once, disconnects
// their callers at the same moment, and measures how long the tasks occupy queues,
// slots and target calls after that. It is deterministic for equal options. The
// error reports tasks that remain after a minute of virtual time.
func RunCancel(options CancelOptions) (CancelResult, error) {
	sim := newSimulation(Options{Seed: options.Seed, Entries: options.Entries, Agents: options.Agents})
	monitor := &cancelMonitor{sim: sim, messageCounts: make(map[string]int)}
	sim.cancelMonitor = monitor
	sim.runUntil(epoch.Add(cancelConnectTime))
	for i := range options.Requests {
		monitor.submit(sim.entries[i%len(sim.entries)])
	}
	sim.runUntil(sim.now.Add(options.DisconnectAfter))
	result := CancelResult{MessageCounts: monitor.messageCounts, RepliedBefore: monitor.repliedBefore}
	result.QueuedAtEntries, _ = sim.entryTasks()
	result.QueuedAtAgents, result.RunningTasks = sim.agentTasks()
	monitor.active = true
	for _, disconnect := range monitor.disconnects {
		monitor.increment("caller to entry: closed call")
		sim.after(sim.randomDuration(latencyMin, latencyMax), "leave", disconnect)
	}
	err := monitor.measureFreeTimes(&result)
	result.Violations = sim.result.Violations
	return result, err
}

// submit sends one request to an entry.
func (c *cancelMonitor) submit(e *entryNode) {
	sim := c.sim
	body := fmt.Appendf(nil, `{"service":%q,"team":%q,"idempotent":true,"deadline_ms":%d,"input":1}`,
		serviceName, cancelTeamName, cancelDeadline.Milliseconds())
	sim.after(sim.randomDuration(latencyMin, latencyMax), "call "+e.name, func() {
		sub, err := job.Parse(bytes.NewReader(body), true, sim.now, e.core.ParseLimits())
		if err != nil {
			sim.recordViolation("request refused: %v", err)
			return
		}
		c.disconnects = append(c.disconnects, e.core.Submit(sub, func(entry.Reply) {
			if !c.active {
				c.repliedBefore++
			}
		}))
	})
}

// measureFreeTimes runs the simulation until no task remains, and sets the times of
// the result.
func (c *cancelMonitor) measureFreeTimes(result *CancelResult) error {
	sim, start := c.sim, c.sim.now
	for {
		queued, outstanding := sim.entryTasks()
		queuedAtAgents, running := sim.agentTasks()
		elapsed := sim.now.Sub(start)
		occupied := updateFreeTime(&result.EntryQueuesFree, elapsed, queued)
		occupied = updateFreeTime(&result.OutstandingFree, elapsed, outstanding) || occupied
		occupied = updateFreeTime(&result.AgentsFree, elapsed, queuedAtAgents+running) || occupied
		occupied = updateFreeTime(&result.TargetCallsFree, elapsed, c.targetCalls) || occupied
		if !occupied {
			return nil
		}
		if elapsed >= cancelTimeout {
			return errors.Newf("after %v still taken: %d places in queues, %d in counts, %d at agents, %d calls",
				elapsed, queued, outstanding, queuedAtAgents+running, c.targetCalls)
		}
		sim.runUntil(sim.now.Add(cancelPollInterval))
	}
}

// updateFreeTime reports whether count is positive. It then moves the free time to
// the end of the next poll interval.
func updateFreeTime(freeAfter *time.Duration, elapsed time.Duration, count int) bool {
	if count > 0 {
		*freeAfter = elapsed + cancelPollInterval
	}
	return count > 0
}

// entryTasks returns the number of tasks in the queues of the entries, and of those
// that the entries count as outstanding at targets.
func (sim *simulation) entryTasks() (queued, outstanding int) {
	for _, e := range sim.entries {
		for _, s := range e.core.Dump().Services {
			queued += s.WaitingUrgent + s.WaitingBatch
			for _, t := range s.Targets {
				outstanding += t.Running
			}
		}
	}
	return queued, outstanding
}

// agentTasks returns the numbers of tasks in the queues and slots of the agents.
func (sim *simulation) agentTasks() (queued, running int) {
	for _, a := range sim.agents {
		dump := a.core.Dump()
		queued += dump.Queued
		running += dump.Running
	}
	return queued, running
}

// Write prints the result as text.
func (r CancelResult) Write(w io.Writer) {
	fmt.Fprintf(w, "before: %d replied, %d queued at entries, %d waiting at agents, %d running\n", r.RepliedBefore, r.QueuedAtEntries, r.QueuedAtAgents, r.RunningTasks)
	for _, label := range slices.Sorted(maps.Keys(r.MessageCounts)) {
		fmt.Fprintf(w, "%-34s %d\n", label, r.MessageCounts[label])
	}
	fmt.Fprintf(w, "free after: queues of entries %v, target calls %v, slots and queues of agents %v, counts of entries %v\n",
		r.EntryQueuesFree, r.TargetCallsFree, r.AgentsFree, r.OutstandingFree)
	for _, violation := range r.Violations {
		fmt.Fprintln(w, "violated: "+violation)
	}
}
