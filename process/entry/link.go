package entry

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/process/scheduler"
)

// sendWindow bounds the sequences that an agent has to remember for this entry.
// It is the agent's window, beyond which the agent refuses.
const sendWindow = 4096

// agentLink is what an entry knows of one agent incarnation. It outlives the
// connection by AgentLease.
type agentLink struct {
	hello wire.Hello

	mu        sync.Mutex
	connected bool
	leaving   bool
	// serving is false while the agent is silent or gone.
	serving      bool
	lastHeard    time.Time
	lastSent     time.Time
	nextCancel   time.Time
	configOffset uint64
	high         uint64
	outstanding  map[uint64]*sentTask
	// unreleased are the sequences whose results the agent must keep.
	unreleased map[uint64]struct{}
	released   []uint64
	cancels    []uint64
}

// sentTask is a task that was sent to an agent and not answered.
type sentTask struct {
	service  *service
	task     scheduler.Task
	dispatch wire.DispatchTask
}

func (l *agentLink) connect(now time.Time, hello wire.Hello) (*wire.Resume, []*sentTask) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.connected, l.serving, l.leaving = true, true, false
	l.lastHeard, l.lastSent = now, now
	l.configOffset = hello.ConfigOffset
	l.released = nil
	resume := &wire.Resume{High: l.high, Unreleased: slices.Sorted(maps.Keys(l.unreleased))}
	return resume, l.outstandingInOrder()
}

// heard notes a sign of life and reports whether the agent was silent before.
func (l *agentLink) heard(now time.Time) (resumed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastHeard = now
	if l.serving || l.leaving || !l.connected {
		return false
	}
	l.serving = true
	return true
}

func (l *agentLink) leave() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leaving = true
}

func (l *agentLink) noteConfig(offset uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.configOffset = max(l.configOffset, offset)
}

func (l *agentLink) state(now time.Time) (silence time.Duration, connected, serving bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Sub(l.lastHeard), l.connected, l.serving
}

func (l *agentLink) giveUp() []*sentTask {
	l.mu.Lock()
	defer l.mu.Unlock()
	lost := l.outstandingInOrder()
	clear(l.outstanding)
	return lost
}

func (l *agentLink) outstandingInOrder() []*sentTask {
	tasks := make([]*sentTask, 0, len(l.outstanding))
	for _, seq := range slices.Sorted(maps.Keys(l.outstanding)) {
		tasks = append(tasks, l.outstanding[seq])
	}
	return tasks
}

// record assigns sequences. It reports false if the agent cannot be sent to, and
// then assigns none.
func (l *agentLink) record(batch []*sentTask) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.serving || len(l.unreleased)+len(batch) > sendWindow {
		return false
	}
	for _, sent := range batch {
		l.high++
		sent.dispatch.Seq = l.high
		l.outstanding[l.high] = sent
		l.unreleased[l.high] = struct{}{}
	}
	return true
}

// message builds the dispatch of a batch. The budgets are those of now.
func (l *agentLink) message(now time.Time, self wire.Incarnation, batch []*sentTask) *wire.Dispatch {
	l.mu.Lock()
	defer l.mu.Unlock()
	m := &wire.Dispatch{Agent: l.hello.Incarnation, Entry: self, Released: l.takeReleased()}
	for _, sent := range batch {
		task := sent.dispatch
		task.BudgetMS = wire.Milliseconds(sent.task.Deadline.Sub(now))
		m.Tasks = append(m.Tasks, task)
	}
	l.lastSent = now
	return m
}

func (l *agentLink) takeReleased() []uint64 {
	released := l.released
	l.released = nil
	return released
}

// take returns the task of an answer, or nil if the answer matches nothing
// outstanding.
func (l *agentLink) take(seq uint64, attempt int) *sentTask {
	l.mu.Lock()
	defer l.mu.Unlock()
	sent, ok := l.outstanding[seq]
	if !ok || sent.dispatch.Attempt != attempt {
		return nil
	}
	delete(l.outstanding, seq)
	return sent
}

func (l *agentLink) release(seq uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.unreleased[seq]; ok {
		delete(l.unreleased, seq)
		l.released = append(l.released, seq)
	}
}

func (l *agentLink) cancel(seq uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.outstanding[seq]; ok {
		l.cancels = append(l.cancels, seq)
	}
}

func (l *agentLink) due(now time.Time, self wire.Incarnation, configOffset uint64) []wire.Message {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.connected {
		return nil
	}
	var due []wire.Message
	if len(l.cancels) > 0 && !now.Before(l.nextCancel) {
		due = append(due, &wire.Cancel{Entry: self, Seqs: l.cancels})
		l.cancels = nil
		l.nextCancel = now.Add(cancelInterval)
	}
	if len(due) == 0 && now.Sub(l.lastSent) >= wire.HeartbeatInterval {
		due = append(due, &wire.Heartbeat{Released: l.takeReleased(), ConfigOffset: configOffset})
	}
	if len(due) > 0 {
		l.lastSent = now
	}
	return due
}

// behind reports whether the agent has an older configuration, and takes it as
// sent: the connection delivers it or ends.
func (l *agentLink) behind(offset uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.connected || l.configOffset >= offset {
		return false
	}
	l.configOffset = offset
	return true
}
