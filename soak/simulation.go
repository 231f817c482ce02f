// Package soak is a deterministic simulation test. It runs the real cores of
// entries and agents in virtual time, injects random faults, and checks the
// guarantees against what callers and targets observe; oracle lists them. Network,
// log, targets and callers are fakes behind the interfaces of the cores. Runs with
// the same options have the same sequence of events.
package soak

import (
	"container/heap"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"time"
)

// epoch is the start of virtual time.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Options configure a run.
type Options struct {
	Seed     uint64
	Duration time.Duration // virtual time during which work is submitted
	Faults   []Fault       // kinds of faults to inject; empty means all
	Entries  int           // entry processes; 0 means defaultEntries
	Agents   int           // agent processes; 0 means defaultAgents
	// Record, if set, receives the random calls and faults of the run as a trace.
	Record io.Writer
	// Trace, if not nil, is replayed instead of random calls and faults.
	Trace []Step
}

// Result holds the violations, counters and outcomes of a run.
type Result struct {
	// Violations describes each broken guarantee with its virtual time.
	Violations []string
	// Events is the number of simulated events.
	Events uint64
	// Digest is a hash of the times and names of all events.
	Digest uint64
	// Calls is the number of calls sent to entries that accept connections.
	Calls int
	// Answers counts the replies by state of the job, or by refusal code with
	// the prefix "refused_".
	Answers map[string]int
	// Starts is the number of task starts at targets.
	Starts int
	// Injected counts the injected faults by kind.
	Injected map[Fault]int
	// Submissions holds the outcome of each submission, in the order of their
	// first calls.
	Submissions []SubmissionResult
}

// SubmissionResult is the outcome of one submission.
type SubmissionResult struct {
	Name string
	// Replies describes the outcome of each call, in the order of the calls.
	Replies []string
	// Starts is the number of starts of each task.
	Starts []int
}

// simulation is one run: its event queue, its simulated processes and its
// results.
type simulation struct {
	options    Options
	now        time.Time
	random     *rand.Rand
	events     eventHeap
	lastSerial uint64
	digest     interface {
		Write([]byte) (int, error)
		Sum64() uint64
	}

	log *fakeLog
	// duplicateMessages is set while the duplicate_message fault is active.
	duplicateMessages bool
	entries           []*entryNode
	agents            []*agentNode
	oracle            *oracle
	result            Result
	// cancelMonitor counts messages and target calls of RunCancel; nil in other
	// runs.
	cancelMonitor *cancelMonitor
}

// event is a function that runs at a virtual time. Events of the same time run
// in the order in which they were scheduled, which serial holds.
type event struct {
	at     time.Time
	serial uint64
	name   string
	run    func()
}

// eventHeap is a heap of events ordered by time and serial.
type eventHeap []*event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].serial < h[j].serial
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(*event)) }
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// after schedules an event at the given delay from the current virtual time.
func (sim *simulation) after(delay time.Duration, name string, run func()) {
	sim.lastSerial++
	heap.Push(&sim.events, &event{at: sim.now.Add(delay), serial: sim.lastSerial, name: name, run: run})
}

// runUntil runs the events up to and including a virtual time.
func (sim *simulation) runUntil(end time.Time) {
	for len(sim.events) > 0 && !sim.events[0].at.After(end) {
		e := heap.Pop(&sim.events).(*event)
		sim.now = e.at
		sim.result.Events++
		fmt.Fprintf(sim.digest, "%d %s\n", e.at.UnixNano(), e.name)
		e.run()
	}
	sim.now = end
}

// randomDuration returns a random duration from low to high, both included.
func (sim *simulation) randomDuration(low, high time.Duration) time.Duration {
	return low + time.Duration(sim.random.Int64N(int64(high-low)+1))
}

// chance returns true with a probability in percent.
func (sim *simulation) chance(percent int) bool { return sim.random.IntN(100) < percent }

// recordViolation adds a broken guarantee to the result.
func (sim *simulation) recordViolation(format string, args ...any) {
	sim.result.Violations = append(sim.result.Violations, fmt.Sprintf("%s %s", sim.now.Sub(epoch), fmt.Sprintf(format, args...)))
}

const (
	defaultEntries = 3
	defaultAgents  = 5
	// settleTime is the virtual time that a run continues after the last
	// submission, so that every submission reaches its deadline.
	settleTime = 30 * time.Second
)

// Run executes one run and returns its result. It is deterministic for equal
// options.
func Run(options Options) Result {
	sim := newSimulation(options)
	options = sim.options
	if options.Trace != nil {
		sim.scheduleTrace(options.Trace)
	} else {
		sim.after(time.Second, "callers", sim.submitRandomWork)
		sim.after(2*time.Second, "faults", sim.injectRandomFaults)
	}
	sim.runUntil(epoch.Add(options.Duration))
	sim.endFaults()
	sim.runUntil(epoch.Add(options.Duration + settleTime))
	sim.oracle.checkAtEnd()
	sim.result.Digest = sim.digest.Sum64()
	return sim.result
}

// newSimulation starts the processes of a run, without calls and faults.
func newSimulation(options Options) *simulation {
	if options.Entries == 0 {
		options.Entries = defaultEntries
	}
	if options.Agents == 0 {
		options.Agents = defaultAgents
	}
	if len(options.Faults) == 0 {
		options.Faults = AllFaults()
	}
	sim := &simulation{options: options, now: epoch, random: rand.New(rand.NewPCG(options.Seed, 1)), digest: fnv.New64a()}
	sim.result.Answers = make(map[string]int)
	sim.result.Injected = make(map[Fault]int)
	sim.oracle = newOracle(sim)
	sim.log = &fakeLog{sim: sim}
	for i := range options.Entries {
		newEntryNode(sim, fmt.Sprintf("entry-%d", i))
	}
	for i := range options.Agents {
		sim.agents = append(sim.agents, newAgentNode(sim, fmt.Sprintf("agent-%d", i)))
	}
	return sim
}
