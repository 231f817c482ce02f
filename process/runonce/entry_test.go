package runonce

import (
	"context"
	"sync"
	"time"

	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/process/decision"
	"github.com/azurerouter/azurerouter/process/dispatch"
	"github.com/azurerouter/azurerouter/process/keeper"
	"github.com/azurerouter/azurerouter/process/ledger"
	"github.com/azurerouter/azurerouter/request/batch"
)

// entryLife is one process of an entry: its core and its keeper.
type entryLife struct {
	world  *world
	index  int
	id     wire.Incarnation
	core   *dispatch.Core
	keeper *keeper.Keeper
	ctx    context.Context
	cancel context.CancelFunc
	alive  bool
	freeze freezer
	// inbox holds the events that arrived while the process was frozen.
	inbox []func()
}

// freezer stops the goroutines of a process where they next call its environment. The
// clock of the process stands still meanwhile, so that nothing is decided in between.
type freezer struct {
	mu       sync.Mutex
	frozenAt time.Time
	thawed   chan struct{}
}

func (f *freezer) begin() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.thawed == nil {
		f.frozenAt, f.thawed = now(), make(chan struct{})
	}
}

func (f *freezer) end() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.thawed != nil {
		close(f.thawed)
		f.thawed = nil
	}
}

// since returns when the process was last frozen.
func (f *freezer) since() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.frozenAt
}

// now returns the time as the process sees it.
func (f *freezer) now() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.thawed != nil {
		return f.frozenAt
	}
	return now()
}

// await returns once the process runs.
func (f *freezer) await() {
	for {
		f.mu.Lock()
		thawed := f.thawed
		f.mu.Unlock()
		if thawed == nil {
			return
		}
		<-thawed
	}
}

func (e *entryLife) frozen() bool {
	e.freeze.mu.Lock()
	defer e.freeze.mu.Unlock()
	return e.freeze.thawed != nil
}

func (e *entryLife) running() bool { return e.alive && !e.frozen() }

// startEntry starts a process of an entry in place of the former one.
func (w *world) startEntry(index int) {
	e := &entryLife{world: w, index: index, id: wire.Incarnation(w.random.Uint64()), alive: true}
	e.ctx, e.cancel = context.WithCancel(context.Background())
	w.mu.Lock()
	w.entries[index] = e
	w.mu.Unlock()
	env := (*entryEnv)(e)
	e.core = dispatch.New(env, e.id, "zone-0", w.random.Uint64())
	e.core.SetEntryCount(entryCount)
	e.keeper = keeper.New(keeper.Options{Node: entryName(index), Owner: ledger.Owner(e.id.String()), IsFirstByName: e.isFirstByName,
		Now: e.freeze.now, UnixTime: e.freeze.now}, &logClient{entry: e}, e.core, env)
	go func() { _ = e.keeper.Run(e.ctx) }()
}

func entryName(index int) string { return string(rune('a' + index)) }

func (e *entryLife) isFirstByName() bool {
	e.world.mu.Lock()
	defer e.world.mu.Unlock()
	for _, other := range e.world.entries[:e.index] {
		if other.alive {
			return false
		}
	}
	return true
}

// kill ends the process. What it has sent to the log may still take effect.
func (e *entryLife) kill() {
	e.world.mu.Lock()
	e.alive = false
	e.world.mu.Unlock()
	e.inbox = nil
	e.cancel()
	e.freeze.end()
}

// thaw lets the process run again. It first passes over its timers or reads what has
// arrived.
func (e *entryLife) thaw(tickFirst bool) {
	if !e.frozen() || !e.alive {
		return
	}
	e.freeze.end()
	// The timers of the writer have expired meanwhile.
	e.keeper.NoteProgress(jobID)
	if tickFirst {
		e.core.Tick()
	}
	inbox := e.inbox
	e.inbox = nil
	for _, do := range inbox {
		do()
	}
}

// deliver passes an event to the process, or keeps it until the process runs.
func (e *entryLife) deliver(do func()) {
	switch {
	case !e.alive:
	case e.frozen():
		e.inbox = append(e.inbox, do)
	default:
		do()
	}
}

func (e *entryLife) receive(agent wire.Incarnation, m wire.Message) {
	switch m := m.(type) {
	case *wire.Enroll:
		e.core.HandleDisconnect(agent, nil)
		e.core.HandleEnroll(m)
	case *wire.AgentReport:
		e.core.HandleReport(agent, m)
	}
}

// entryEnv is the dispatch.Env of an entry.
type entryEnv entryLife

func (e *entryEnv) Now() time.Time { return e.freeze.now() }
func (e *entryEnv) Record(d decision.Decision) {
	e.world.oracle.note(entryName(e.index), d)
}
func (e *entryEnv) Send(agent wire.Incarnation, m wire.Message) { e.world.send(e.id, agent, false, m) }
func (e *entryEnv) NoteProgress(id batch.ID)                    { e.keeper.NoteProgress(id) }
func (e *entryEnv) DurableJobState(id batch.ID) dispatch.DurableJobState {
	return e.keeper.JobState(id)
}
func (e *entryEnv) AfterLogRead(f func(ok bool)) {
	e.keeper.AfterLogRead(func(ok bool) {
		e.freeze.await()
		f(ok)
	})
}
