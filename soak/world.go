// Package soak runs the cores of entries and agents in virtual time under random
// faults and checks the guarantees from outside. The surroundings (network,
// log, targets, callers) are small fakes at the cores' interfaces. The same
// seed gives the same run to the last event.
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

// Options select a run.
type Options struct {
	Seed     uint64
	Duration time.Duration // virtual time in which submissions arrive
	Faults   []Fault       // kinds of faults to inject; empty means all
	Entries  int
	Agents   int
	// Record receives the calls and faults of the run as a trace.
	Record io.Writer
	// Trace replaces the random calls and faults.
	Trace []Step
}

// Result is what a run saw.
type Result struct {
	Violations []string
	Events     uint64
	// Digest identifies the sequence of events.
	Digest   uint64
	Calls    int
	Answers  map[string]int
	Starts   int
	Injected map[Fault]int
	// Replies lists, for each submission of a trace, the ends of its calls in
	// order of time, and Started the starts of its tasks.
	Replies []SubmissionResult
}

// SubmissionResult is what became of one submission.
type SubmissionResult struct {
	Name    string
	Replies []string
	Starts  []int
}

// world is the event queue of a run.
type world struct {
	options Options
	now     time.Time
	random  *rand.Rand
	events  eventHeap
	serial  uint64
	digest  interface {
		Write([]byte) (int, error)
		Sum64() uint64
	}

	log *fakeLog
	// duplicates is on while messages are repeated.
	duplicates bool
	entries    []*entryNode
	agents     []*agentNode
	oracle     *oracle
	result     Result
	// cancels counts messages and target calls; nil in runs of the oracle.
	cancels *cancelWatch
}

type event struct {
	at     time.Time
	serial uint64
	name   string
	run    func()
}

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

// after schedules an event.
func (w *world) after(delay time.Duration, name string, run func()) {
	w.serial++
	heap.Push(&w.events, &event{at: w.now.Add(delay), serial: w.serial, name: name, run: run})
}

// runUntil handles events up to a time.
func (w *world) runUntil(end time.Time) {
	for len(w.events) > 0 && !w.events[0].at.After(end) {
		e := heap.Pop(&w.events).(*event)
		w.now = e.at
		w.result.Events++
		fmt.Fprintf(w.digest, "%d %s\n", e.at.UnixNano(), e.name)
		e.run()
	}
	w.now = end
}

func (w *world) duration(low, high time.Duration) time.Duration {
	return low + time.Duration(w.random.Int64N(int64(high-low)+1))
}

func (w *world) chance(percent int) bool { return w.random.IntN(100) < percent }

func (w *world) violated(format string, args ...any) {
	w.result.Violations = append(w.result.Violations, fmt.Sprintf("%s %s", w.now.Sub(epoch), fmt.Sprintf(format, args...)))
}

const (
	defaultEntries = 3
	defaultAgents  = 5
	// settleTime lets every submission reach its deadline after the last one
	// arrived.
	settleTime = 30 * time.Second
)

// Run executes one run.
func Run(options Options) Result {
	w := newWorld(options)
	options = w.options
	if options.Trace != nil {
		w.replay(options.Trace)
	} else {
		w.after(time.Second, "callers", w.callers)
		w.after(2*time.Second, "faults", w.faults)
	}
	w.runUntil(epoch.Add(options.Duration))
	w.heal()
	w.runUntil(epoch.Add(options.Duration + settleTime))
	w.oracle.finish()
	w.result.Digest = w.digest.Sum64()
	return w.result
}

// newWorld starts the processes of a run, without calls and faults.
func newWorld(options Options) *world {
	if options.Entries == 0 {
		options.Entries = defaultEntries
	}
	if options.Agents == 0 {
		options.Agents = defaultAgents
	}
	if len(options.Faults) == 0 {
		options.Faults = AllFaults()
	}
	w := &world{options: options, now: epoch, random: rand.New(rand.NewPCG(options.Seed, 1)), digest: fnv.New64a()}
	w.result.Answers = make(map[string]int)
	w.result.Injected = make(map[Fault]int)
	w.oracle = newOracle(w)
	w.log = &fakeLog{world: w}
	for i := range options.Entries {
		newEntryNode(w, fmt.Sprintf("entry-%d", i))
	}
	for i := range options.Agents {
		w.agents = append(w.agents, newAgentNode(w, fmt.Sprintf("agent-%d", i)))
	}
	return w
}
