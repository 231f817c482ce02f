// Package agent is the process beside one target. It accepts dispatches from
// entries, decides through package fencing what may start, keeps the target's
// slots, and hands results back.
//
// Core holds the decisions and is driven by events, so that it also runs in
// virtual time; Daemon connects it to the network and the clock.
package agent

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/azurerouter/azurerouter/connection/target"
	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/process/fencing"
	"github.com/azurerouter/azurerouter/request/job"
	"github.com/azurerouter/azurerouter/version/config"
)

// Env is what Core needs of its surroundings. No method may block or call back
// into Core before it returns.
type Env interface {
	Now() time.Time
	// Send queues a message to an entry; it is lost if there is no connection.
	Send(entry wire.Incarnation, m wire.Message)
	// Disconnect ends the connection to an entry.
	Disconnect(entry wire.Incarnation)
	// Run calls the target and later calls done, once. cancel stops the call.
	Run(call target.Call, done func(target.Result)) (cancel func())
	// Violated reports a broken guarantee.
	Violated(guarantee, step, peer, detail string)
}

// Options describe the target.
type Options struct {
	Incarnation wire.Incarnation
	Service     string
	Slots       int
	// Backlog is how many accepted tasks may wait for a slot, until a
	// configuration names it.
	Backlog int
	Limits  fencing.Limits
}

// Core is the state of one agent incarnation. It is safe for concurrent use.
type Core struct {
	env     Env
	options Options
	guard   *fencing.Guard

	mu      sync.Mutex
	leaving bool
	running map[taskRef]func()
	urgent  []queued
	batch   []queued
	links   map[wire.Incarnation]*link
	// recoverers are the entries that fenced another one and wait for the
	// ends of tasks that were still running then.
	recoverers map[wire.Incarnation][]wire.Incarnation
	// refused are the entries that were refused for lack of room, in order,
	// until they are told of a free slot.
	refused  []wire.Incarnation
	config   *config.State
	counters Counters
}

// Counters count events since the start of the agent.
type Counters struct {
	Started    uint64                     `json:"started"`
	NotStarted map[wire.NotStarted]uint64 `json:"not_started"`
	Ended      map[job.Outcome]uint64     `json:"ended"`
	Rejoined   uint64                     `json:"rejoined"`
	Stray      uint64                     `json:"stray"`
}

type link struct {
	lastSent time.Time
}

// NewCore returns the state of a fresh agent incarnation.
func NewCore(env Env, options Options) *Core {
	c := &Core{env: env, options: options,
		running:    make(map[taskRef]func()),
		links:      make(map[wire.Incarnation]*link),
		recoverers: make(map[wire.Incarnation][]wire.Incarnation),
		config:     config.NewState(),
		counters:   Counters{NotStarted: make(map[wire.NotStarted]uint64), Ended: make(map[job.Outcome]uint64)},
	}
	c.guard = fencing.New(options.Incarnation, options.Limits, func(guarantee, detail string) {
		env.Violated(guarantee, "start", "", detail)
	})
	return c
}

// Connected starts the lease of an entry on a new connection.
func (c *Core) Connected(entry wire.Incarnation) {
	now := c.env.Now()
	c.guard.Connected(now, entry)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.links[entry] = &link{lastSent: now}
	if c.leaving {
		c.send(entry, &wire.Leaving{})
	}
	if c.guard.Fenced(entry) {
		c.send(entry, &wire.Fenced{Entry: entry})
	}
}

// Disconnected forgets the connection of an entry; its tasks go on.
func (c *Core) Disconnected(entry wire.Incarnation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.links, entry)
}

// Received handles a message of a connected entry.
func (c *Core) Received(entry wire.Incarnation, m wire.Message) {
	now := c.env.Now()
	held := c.guard.Heard(now, entry)
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
		c.applyConfig(m)
	}
	if !held {
		// Only a new connection renews a lapsed lease.
		c.env.Disconnect(entry)
	}
}

func (c *Core) dispatch(now time.Time, entry wire.Incarnation, m *wire.Dispatch) {
	if m.Entry != entry || m.Agent != c.options.Incarnation {
		// A delayed message of, or for, an earlier incarnation. It is not
		// answered: the entry would take a refusal for one of the dispatch
		// that has the same sequence at this incarnation.
		c.noteStray()
		return
	}
	c.guard.Release(now, entry, m.Released)
	c.mu.Lock()
	defer c.mu.Unlock()
	var answers []wire.TaskAnswer
	for _, task := range m.Tasks {
		offer := c.guard.Offer(now, m.Agent, entry, task, c.refusal())
		switch {
		case offer.Accepted:
			c.enqueue(now, entry, task)
		case offer.Answer != nil:
			answers = append(answers, *offer.Answer)
			if offer.Answer.NotStarted == wire.NotStartedBusy {
				c.refused = appendNew(c.refused, entry)
			}
		default:
			c.counters.Rejoined++
		}
	}
	c.answer(entry, answers)
	c.fill(now)
}

func (c *Core) noteStray() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counters.Stray++
}

func (c *Core) answer(entry wire.Incarnation, answers []wire.TaskAnswer) {
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
	return wire.Load{Running: len(c.running), Queued: len(c.urgent) + len(c.batch)}
}

func (c *Core) send(entry wire.Incarnation, m wire.Message) {
	if l, ok := c.links[entry]; ok {
		l.lastSent = c.env.Now()
	}
	c.env.Send(entry, m)
}

func (c *Core) resume(now time.Time, entry wire.Incarnation, m *wire.Resume) {
	answers := c.guard.Resume(now, entry, m.High, m.Unreleased)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answer(entry, answers)
}

func (c *Core) cancel(now time.Time, entry wire.Incarnation, m *wire.Cancel) {
	if m.Entry != entry {
		c.noteStray()
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
	c.answer(entry, ended)
}

func (c *Core) fence(now time.Time, recoverer wire.Incarnation, m *wire.Fence) {
	alive, tasks := c.guard.Fence(now, m.Entry, time.Duration(m.SilentMS)*time.Millisecond)
	c.mu.Lock()
	defer c.mu.Unlock()
	if !alive {
		c.recoverers[m.Entry] = appendNew(c.recoverers[m.Entry], recoverer)
	}
	chunks := chunk(tasks, func(t wire.HeldTask) int { return len(t.Output) })
	for i, part := range chunks {
		c.send(recoverer, &wire.Fenced{Entry: m.Entry, Alive: alive, Tasks: part, More: i < len(chunks)-1})
	}
}

// chunkBytes bounds the outputs in one message, far below wire.MaxFrameBytes.
const chunkBytes = 2 << 20

// chunk splits a list into at least one part of at most chunkBytes, or of one
// item.
func chunk[T any](items []T, size func(T) int) [][]T {
	var parts [][]T
	begin, total := 0, 0
	for i, item := range items {
		if total += size(item); total > chunkBytes && i > begin {
			parts = append(parts, items[begin:i])
			begin, total = i, size(item)
		}
	}
	return append(parts, items[begin:])
}

func appendNew(list []wire.Incarnation, inc wire.Incarnation) []wire.Incarnation {
	for _, known := range list {
		if known == inc {
			return list
		}
	}
	return append(list, inc)
}

func (c *Core) applyConfig(m *wire.Config) {
	c.mu.Lock()
	defer c.mu.Unlock()
	files := make([]config.File, len(m.Files))
	for i, file := range m.Files {
		files[i] = config.File{Name: file.Name, Version: file.Version, Content: file.Content}
	}
	if !c.config.Restore(m.Offset, files) {
		return
	}
	merged, _ := config.Merge(files)
	if service, ok := merged.Config.Services[c.options.Service]; ok {
		c.options.Backlog = service.MaxBacklog
	}
}

// ConfigOffset returns the configuration version in force.
func (c *Core) ConfigOffset() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.config.Offset()
}

// Leave refuses new work from now on and tells every entry.
func (c *Core) Leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leaving {
		return
	}
	c.leaving = true
	for _, entry := range slices.Sorted(maps.Keys(c.links)) {
		c.send(entry, &wire.Leaving{})
	}
}

// Drained reports whether no task is open and every result has been released.
func (c *Core) Drained() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.running)+len(c.urgent)+len(c.batch) == 0 && c.guard.Unreleased() == 0
}

// Tick does what is due: heartbeats, and dropping what has expired. It is to be
// called several times per wire.HeartbeatInterval.
func (c *Core) Tick() {
	now := c.env.Now()
	c.guard.Expire(now)
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, entry := range slices.Sorted(maps.Keys(c.links)) {
		if now.Sub(c.links[entry].lastSent) >= wire.HeartbeatInterval {
			c.send(entry, &wire.Heartbeat{Load: c.load(), ConfigOffset: c.config.Offset()})
		}
	}
	for entry := range c.recoverers {
		if c.guard.Forgotten(entry) {
			delete(c.recoverers, entry)
		}
	}
}
