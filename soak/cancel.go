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

// CancelOptions select a run in which many callers leave at the same moment.
type CancelOptions struct {
	Seed     uint64
	Requests int
	Entries  int
	Agents   int
	// After is the time from the submission of all requests to the moment at
	// which their callers leave.
	After time.Duration
}

// CancelResult is what followed the moment at which the callers left. Times are
// counted from it, in steps of cancelStep.
type CancelResult struct {
	// Queued, Waiting and Running are the places taken at that moment in the
	// queues of the entries, in those of the agents and in the slots.
	Queued, Waiting, Running int
	// Messages counts, by hop and type, the messages sent from that moment
	// until everything is free.
	Messages map[string]int
	// QueueFree, SlotsFree and CallsFree are the times until the queues of the
	// entries, the slots and queues of the agents, and the calls to the targets
	// are free. CountFree is the time until the entries know that all slots
	// are.
	QueueFree, SlotsFree, CallsFree, CountFree time.Duration
	// Replied counts the requests that were answered or refused before.
	Replied    int
	Violations []string
}

const (
	// cancelTeam has no quota, which would refuse most of the wave.
	cancelTeam = "wave"
	cancelStep = 100 * time.Microsecond
	// cancelSettle lets the processes connect before the requests arrive.
	cancelSettle = 3 * time.Second
	// cancelLimit ends a run in which something stays taken.
	cancelLimit = time.Minute
	// cancelDeadline is longer than the queue of the smallest run takes.
	cancelDeadline = 10 * time.Minute
)

// cancelWatch counts what follows the moment at which the callers leave.
type cancelWatch struct {
	world    *world
	active   bool
	messages map[string]int
	// calls is the number of open calls to targets.
	calls   int
	detach  []func()
	replied int
}

// sent counts a message between processes.
func (c *cancelWatch) sent(to *connEnd, m wire.Message) {
	hop := "entry to agent"
	for _, e := range c.world.entries {
		if e.process == to.process {
			hop = "agent to entry"
			if to.other().process.isEntry() {
				hop = "entry to entry"
			}
		}
	}
	c.count(hop + ": " + wire.KindName(m))
}

func (p *process) isEntry() bool {
	for _, e := range p.world.entries {
		if e.process == p {
			return true
		}
	}
	return false
}

func (c *cancelWatch) count(what string) {
	if c.active {
		c.messages[what]++
	}
}

// run follows a call to a target.
func (c *cancelWatch) run(n *agentNode, call target.Call, done func(target.Result)) func() {
	c.calls++
	cancel := c.world.runTask(n, call, func(result target.Result) {
		c.calls--
		done(result)
	})
	return func() {
		c.count("agent to target: closed call")
		cancel()
	}
}

// RunCancel submits unkeyed requests all at once over the real cores, lets their
// callers leave at the same moment, and follows what is freed. The same options
// give the same run.
func RunCancel(options CancelOptions) (CancelResult, error) {
	w := newWorld(Options{Seed: options.Seed, Entries: options.Entries, Agents: options.Agents})
	watch := &cancelWatch{world: w, messages: make(map[string]int)}
	w.cancels = watch
	w.runUntil(epoch.Add(cancelSettle))
	for i := range options.Requests {
		watch.submit(w.entries[i%len(w.entries)])
	}
	w.runUntil(w.now.Add(options.After))
	result := CancelResult{Messages: watch.messages, Replied: watch.replied}
	result.Queued, _ = w.entryPlaces()
	result.Waiting, result.Running = w.agentPlaces()
	watch.active = true
	for _, leave := range watch.detach {
		watch.count("caller to entry: closed call")
		w.after(w.duration(latencyMin, latencyMax), "leave", leave)
	}
	err := watch.follow(&result)
	result.Violations = w.result.Violations
	return result, err
}

// submit sends one request to an entry.
func (c *cancelWatch) submit(e *entryNode) {
	w := c.world
	body := fmt.Appendf(nil, `{"service":%q,"team":%q,"idempotent":true,"deadline_ms":%d,"input":1}`,
		serviceName, cancelTeam, cancelDeadline.Milliseconds())
	w.after(w.duration(latencyMin, latencyMax), "call "+e.name, func() {
		sub, err := job.Parse(bytes.NewReader(body), true, w.now, e.core.ParseLimits())
		if err != nil {
			w.violated("request refused: %v", err)
			return
		}
		c.detach = append(c.detach, e.core.Submit(sub, func(entry.Reply) {
			if !c.active {
				c.replied++
			}
		}))
	})
}

// follow notes when each kind of place is free.
func (c *cancelWatch) follow(result *CancelResult) error {
	w, began := c.world, c.world.now
	for {
		queued, counted := w.entryPlaces()
		waiting, running := w.agentPlaces()
		passed := w.now.Sub(began)
		taken := note(&result.QueueFree, passed, queued)
		taken = note(&result.CountFree, passed, counted) || taken
		taken = note(&result.SlotsFree, passed, waiting+running) || taken
		taken = note(&result.CallsFree, passed, c.calls) || taken
		if !taken {
			return nil
		}
		if passed >= cancelLimit {
			return errors.Newf("after %v still taken: %d places in queues, %d in counts, %d at agents, %d calls",
				passed, queued, counted, waiting+running, c.calls)
		}
		w.runUntil(w.now.Add(cancelStep))
	}
}

// note moves the time at which places are free while some are taken.
func note(free *time.Duration, passed time.Duration, taken int) bool {
	if taken > 0 {
		*free = passed + cancelStep
	}
	return taken > 0
}

// entryPlaces returns the tasks in the queues of the entries, and those that the
// entries count as being at targets.
func (w *world) entryPlaces() (queued, counted int) {
	for _, e := range w.entries {
		for _, s := range e.core.Dump().Services {
			queued += s.WaitingUrgent + s.WaitingBatch
			for _, t := range s.Targets {
				counted += t.Running
			}
		}
	}
	return queued, counted
}

func (w *world) agentPlaces() (waiting, running int) {
	for _, a := range w.agents {
		dump := a.core.Dump()
		waiting += dump.Queued
		running += dump.Running
	}
	return waiting, running
}

// Write prints the result.
func (r CancelResult) Write(w io.Writer) {
	fmt.Fprintf(w, "before: %d replied, %d queued at entries, %d waiting at agents, %d running\n", r.Replied, r.Queued, r.Waiting, r.Running)
	for _, what := range slices.Sorted(maps.Keys(r.Messages)) {
		fmt.Fprintf(w, "%-34s %d\n", what, r.Messages[what])
	}
	fmt.Fprintf(w, "free after: queues of entries %v, target calls %v, slots and queues of agents %v, counts of entries %v\n",
		r.QueueFree, r.CallsFree, r.SlotsFree, r.CountFree)
	for _, violation := range r.Violations {
		fmt.Fprintln(w, "violated: "+violation)
	}
}
