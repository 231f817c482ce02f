// Package agent implements the process beside one target. It accepts dispatches
// from entries, decides with package fencing which tasks may start, limits the
// running tasks to the slots of the target, and returns results to the entries.
//
// Core makes the decisions and is driven by events, so that it also runs in
// virtual time; Daemon connects it to the network and the clock.
package agent

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/azurerouter/azurerouter/connection/target"
	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/process/fencing"
	"github.com/azurerouter/azurerouter/request/job"
	"github.com/azurerouter/azurerouter/version/config"
)

// Env is the interface of Core to the network, the target and the clock. No
// method may block or call back into Core before it returns.
type Env interface {
	// Now returns the current time.
	Now() time.Time
	// Send queues a message to an entry. The message is lost if there is no
	// connection.
	Send(entry wire.Incarnation, m wire.Message)
	// Disconnect closes the connection to an entry.
	Disconnect(entry wire.Incarnation)
	// CallTarget starts a call of the target, and calls done once when it has
	// ended.
	// cancel stops the call.
	CallTarget(call target.Call, done func(target.Result)) (cancel func())
	// ReportConfigError reports a configuration of an entry that was not applied.
	ReportConfigError(entry wire.Incarnation, err error)
	// ReportViolation reports a broken guarantee.
	ReportViolation(guarantee, step, peer, detail string)
}

// Options describe an agent and its target.
type Options struct {
	Incarnation wire.Incarnation
	Service     string
	// Slots is how many tasks the target runs at once.
	Slots int
	// Backlog is how many accepted tasks may wait for a slot, until a
	// configuration sets the limit of the service.
	Backlog int
	// Limits bound the state that package fencing keeps.
	Limits fencing.Limits
}

// Core is the state of one agent incarnation. It is safe for concurrent use.
type Core struct {
	env     Env
	options Options
	guard   *fencing.Guard

	mu      sync.Mutex
	leaving bool
	// running holds the running tasks, each with the function that cancels it.
	running map[taskRef]func()
	// urgentQueue and batchQueue hold the accepted tasks that wait for a slot.
	urgentQueue []queuedTask
	batchQueue  []queuedTask
	connections map[wire.Incarnation]*connection
	// recoverers lists, by fenced entry, the entries that fenced it. They
	// receive the results of tasks that were still running at the fence.
	recoverers map[wire.Incarnation][]wire.Incarnation
	// refusedEntries lists, in order, the entries whose tasks were refused as
	// busy, until each has been notified of a free slot.
	refusedEntries []wire.Incarnation
	config         *config.State
	counters       Counters
}

// Counters count events since the start of the agent.
type Counters struct {
	Started uint64 `json:"started"`
	// NotStarted counts refused tasks by reason, and Ended counts ended calls
	// of the target by outcome.
	NotStarted map[wire.NotStartedReason]uint64 `json:"not_started"`
	Ended      map[job.Outcome]uint64           `json:"ended"`
	// RepeatedDispatches counts dispatches of tasks that were waiting or
	// running already.
	RepeatedDispatches uint64 `json:"rejoined"`
	// MisaddressedMessages counts dispatches and cancels from or for another
	// incarnation.
	MisaddressedMessages uint64 `json:"stray"`
}

// connection is the state of the connection to one entry.
type connection struct {
	lastSent time.Time
}

// NewCore returns the initial state of an agent incarnation.
func NewCore(env Env, options Options) *Core {
	c := &Core{env: env, options: options,
		running:     make(map[taskRef]func()),
		connections: make(map[wire.Incarnation]*connection),
		recoverers:  make(map[wire.Incarnation][]wire.Incarnation),
		config:      config.NewState(),
		counters:    Counters{NotStarted: make(map[wire.NotStartedReason]uint64), Ended: make(map[job.Outcome]uint64)},
	}
	c.guard = fencing.New(options.Incarnation, options.Limits, func(guarantee, detail string) {
		env.ReportViolation(guarantee, "start", "", detail)
	})
	return c
}

// Connected starts the lease of an entry that has opened a new connection.
func (c *Core) Connected(entry wire.Incarnation) {
	now := c.env.Now()
	c.guard.Connected(now, entry)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.connections[entry] = &connection{lastSent: now}
	if c.leaving {
		c.send(entry, &wire.Leaving{})
	}
	if c.guard.Fenced(entry) {
		c.send(entry, &wire.Fenced{Entry: entry})
	}
}

// Disconnected removes the connection of an entry. Its tasks continue.
func (c *Core) Disconnected(entry wire.Incarnation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.connections, entry)
}

// Received handles a message from a connected entry, and disconnects the entry
// if its lease has lapsed.
func (c *Core) Received(entry wire.Incarnation, m wire.Message) {
	now := c.env.Now()
	leaseHeld := c.guard.RenewLease(now, entry)
	switch m := m.(type) {
	case *wire.Dispatch:
		c.dispatch(now, entry, m)
	case *wire.Heartbeat:
		c.guard.Release(now, entry, m.Released)
	case *wire.Resume:
		c.resume(now, entry, m)
	case *wire.Cancel:
		c.cancel(now, entry, m)
	case *wire.Fence:
		c.fence(now, entry, m)
	case *wire.Config:
		c.applyConfig(entry, m)
	}
	if !leaseHeld {
		// Only a new connection renews a lapsed lease.
		c.env.Disconnect(entry)
	}
}

func (c *Core) dispatch(now time.Time, entry wire.Incarnation, m *wire.Dispatch) {
	if m.Entry != entry || m.Agent != c.options.Incarnation {
		// A delayed message from or for an earlier incarnation. It is not
		// answered, because the entry would apply a refusal to its dispatch
		// with the same sequence number to this incarnation.
		c.countMisaddressed()
		return
	}
	c.guard.Release(now, entry, m.Released)
	c.mu.Lock()
	defer c.mu.Unlock()
	var answers []wire.TaskAnswer
	for _, task := range m.Tasks {
		admission := c.guard.Admit(now, m.Agent, entry, task, c.refusalReason())
		switch {
		case admission.Accepted:
			c.enqueue(now, entry, task)
		case admission.Answer != nil:
			answers = append(answers, *admission.Answer)
			if admission.Answer.NotStarted == wire.NotStartedBusy {
				c.refusedEntries = appendUnique(c.refusedEntries, entry)
			}
		default:
			c.counters.RepeatedDispatches++
		}
	}
	c.sendAnswers(entry, answers)
	c.fillSlots(now)
}

func (c *Core) countMisaddressed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counters.MisaddressedMessages++
}

// sendAnswers counts the refusals and sends the answers, in messages of limited
// size.
func (c *Core) sendAnswers(entry wire.Incarnation, answers []wire.TaskAnswer) {
	if len(answers) == 0 {
		return
	}
	for _, answer := range answers {
		if answer.NotStarted != "" {
			c.counters.NotStarted[answer.NotStarted]++
		}
	}
	for _, part := range chunk(answers, func(a wire.TaskAnswer) int { return len(a.Output) }) {
		c.send(entry, &wire.Answers{Agent: c.options.Incarnation, Entry: entry, Tasks: part, Load: c.load()})
	}
}

func (c *Core) load() wire.Load {
	return wire.Load{Running: len(c.running), Queued: len(c.urgentQueue) + len(c.batchQueue)}
}

func (c *Core) send(entry wire.Incarnation, m wire.Message) {
	if conn, ok := c.connections[entry]; ok {
		conn.lastSent = c.env.Now()
	}
	c.env.Send(entry, m)
}

func (c *Core) resume(now time.Time, entry wire.Incarnation, m *wire.Resume) {
	answers := c.guard.Resume(now, entry, m.HighestSeq, m.Unreleased)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sendAnswers(entry, answers)
}

func (c *Core) cancel(now time.Time, entry wire.Incarnation, m *wire.Cancel) {
	if m.Entry != entry {
		c.countMisaddressed()
		return
	}
	stop, ended := c.guard.Cancel(now, entry, m.Seqs)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dropQueued(entry, m.Seqs)
	for _, seq := range stop {
		if cancel, ok := c.running[taskRef{entry, seq}]; ok {
			cancel()
		}
	}
	c.sendAnswers(entry, ended)
}

// fence fences an entry at the request of a recoverer, and sends the recoverer
// the tasks that were started for the fenced entry.
func (c *Core) fence(now time.Time, recoverer wire.Incarnation, m *wire.Fence) {
	alive, tasks := c.guard.Fence(now, m.Entry, time.Duration(m.SilentMS)*time.Millisecond)
	c.mu.Lock()
	defer c.mu.Unlock()
	if !alive {
		c.recoverers[m.Entry] = appendUnique(c.recoverers[m.Entry], recoverer)
	}
	chunks := chunk(tasks, func(t wire.HeldTask) int { return len(t.Output) })
	for i, part := range chunks {
		c.send(recoverer, &wire.Fenced{Entry: m.Entry, EntryAlive: alive, Tasks: part, More: i < len(chunks)-1})
	}
}

// maxChunkBytes bounds the outputs in one message, well below
// wire.MaxFrameBytes.
const maxChunkBytes = 2 << 20

// chunk splits a list into parts of at most maxChunkBytes each; a larger item
// is a part of its own. An empty list gives one empty part.
func chunk[T any](items []T, size func(T) int) [][]T {
	var parts [][]T
	begin, total := 0, 0
	for i, item := range items {
		if total += size(item); total > maxChunkBytes && i > begin {
			parts = append(parts, items[begin:i])
			begin, total = i, size(item)
		}
	}
	return append(parts, items[begin:])
}

// appendUnique appends the entry unless the list contains it.
func appendUnique(list []wire.Incarnation, entry wire.Incarnation) []wire.Incarnation {
	for _, existing := range list {
		if existing == entry {
			return list
		}
	}
	return append(list, entry)
}

// applyConfig applies a configuration that is newer than the one in force.
func (c *Core) applyConfig(entry wire.Incarnation, m *wire.Config) {
	c.mu.Lock()
	defer c.mu.Unlock()
	files := make([]config.File, len(m.Files))
	for i, file := range m.Files {
		files[i] = config.File{Name: file.Name, Version: file.Version, Content: file.Content}
	}
	var stale *config.OffsetError
	if err := c.config.RestoreFrom(m.Offset, files); err != nil {
		// Every entry sends each configuration; only the first copy is newer.
		if !errors.As(err, &stale) {
			c.env.ReportConfigError(entry, err)
		}
		return
	}
	merged, _ := config.Merge(files)
	if service, ok := merged.Config.Services[c.options.Service]; ok {
		c.options.Backlog = service.MaxBacklog
	}
}

// ConfigOffset returns the config log offset of the configuration in force, or
// 0 if there is none.
func (c *Core) ConfigOffset() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.config.Offset()
}

// Leave refuses new tasks from now on and notifies every connected entry.
func (c *Core) Leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leaving {
		return
	}
	c.leaving = true
	for _, entry := range slices.Sorted(maps.Keys(c.connections)) {
		c.send(entry, &wire.Leaving{})
	}
}

// Drained reports whether no task is running or queued and every result has
// been released.
func (c *Core) Drained() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.running)+len(c.urgentQueue)+len(c.batchQueue) == 0 && c.guard.UnreleasedCount() == 0
}

// Tick removes expired state and sends the heartbeats that are due. It must be
// called several times per wire.HeartbeatInterval.
func (c *Core) Tick() {
	now := c.env.Now()
	c.guard.Expire(now)
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, entry := range slices.Sorted(maps.Keys(c.connections)) {
		if now.Sub(c.connections[entry].lastSent) >= wire.HeartbeatInterval {
			c.send(entry, &wire.Heartbeat{Load: c.load(), ConfigOffset: c.config.Offset()})
		}
	}
	for entry := range c.recoverers {
		if c.guard.SenderRemoved(entry) {
			delete(c.recoverers, entry)
		}
	}
}
