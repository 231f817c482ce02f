package entry

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/process/scheduler"
)

// sendWindow is the number of unreleased sequences that this entry may have at
// one agent. It equals the agent's window, beyond which the agent refuses
// tasks.
const sendWindow = 4096

// agentLink is the state of one agent incarnation at this entry. It is kept
// until the agent is disconnected and has been silent for agentRetention.
type agentLink struct {
	hello wire.Hello

	mu        sync.Mutex
	connected bool
	leaving   bool
	// serving is false while the agent is silent, leaving or disconnected.
	serving      bool
	lastHeard    time.Time
	lastSent     time.Time
	nextCancelAt time.Time
	configOffset uint64
	lastSeq      uint64
	outstanding  map[uint64]*sentTask
	// unreleased holds the sequences whose results the agent must keep.
	unreleased      map[uint64]struct{}
	pendingReleases []uint64
	pendingCancels  []uint64
}

// sentTask is a task that was sent to an agent and is not answered.
type sentTask struct {
	service  *service
	task     scheduler.Task
	dispatch wire.DispatchTask
}

// connect handles a new connection. It returns the Resume message to send and
// the outstanding tasks, which have to be sent again.
func (l *agentLink) connect(now time.Time, hello wire.Hello) (*wire.Resume, []*sentTask) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.connected, l.serving, l.leaving = true, true, false
	l.lastHeard, l.lastSent = now, now
	l.configOffset = hello.ConfigOffset
	l.pendingReleases = nil
	resume := &wire.Resume{HighestSeq: l.lastSeq, Unreleased: slices.Sorted(maps.Keys(l.unreleased))}
	return resume, l.outstandingInOrder()
}

// messageReceived records the time of a message and reports whether the agent
// was silent before and can be sent to again.
func (l *agentLink) messageReceived(now time.Time) (resumed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastHeard = now
	if l.serving || l.leaving || !l.connected {
		return false
	}
	l.serving = true
	return true
}

func (l *agentLink) markLeaving() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leaving = true
}

func (l *agentLink) raiseConfigOffset(offset uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.configOffset = max(l.configOffset, offset)
}

func (l *agentLink) state(now time.Time) (silence time.Duration, connected, serving bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Sub(l.lastHeard), l.connected, l.serving
}

// takeOutstanding removes and returns all outstanding tasks.
func (l *agentLink) takeOutstanding() []*sentTask {
	l.mu.Lock()
	defer l.mu.Unlock()
	outstanding := l.outstandingInOrder()
	clear(l.outstanding)
	return outstanding
}

func (l *agentLink) outstandingInOrder() []*sentTask {
	tasks := make([]*sentTask, 0, len(l.outstanding))
	for _, seq := range slices.Sorted(maps.Keys(l.outstanding)) {
		tasks = append(tasks, l.outstanding[seq])
	}
	return tasks
}

// assignSeqs assigns a sequence to each task of a batch. It returns false and
// assigns none if the agent is not serving or the batch does not fit into
// sendWindow.
func (l *agentLink) assignSeqs(batch []*sentTask) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.serving || len(l.unreleased)+len(batch) > sendWindow {
		return false
	}
	for _, sent := range batch {
		l.lastSeq++
		sent.dispatch.Seq = l.lastSeq
		l.outstanding[l.lastSeq] = sent
		l.unreleased[l.lastSeq] = struct{}{}
	}
	return true
}

// dispatchMessage builds the message for a batch. The time budgets in it are
// the times left at now.
func (l *agentLink) dispatchMessage(now time.Time, self wire.Incarnation, batch []*sentTask) *wire.Dispatch {
	l.mu.Lock()
	defer l.mu.Unlock()
	m := &wire.Dispatch{Agent: l.hello.Incarnation, Entry: self, Released: l.takePendingReleases()}
	for _, sent := range batch {
		task := sent.dispatch
		task.BudgetMS = wire.Milliseconds(sent.task.Deadline.Sub(now))
		m.Tasks = append(m.Tasks, task)
	}
	l.lastSent = now
	return m
}

func (l *agentLink) takePendingReleases() []uint64 {
	released := l.pendingReleases
	l.pendingReleases = nil
	return released
}

// matchAnswer removes and returns the outstanding task that an answer belongs
// to. It returns nil if there is none.
func (l *agentLink) matchAnswer(seq uint64, attempt int) *sentTask {
	l.mu.Lock()
	defer l.mu.Unlock()
	sent, ok := l.outstanding[seq]
	if !ok || sent.dispatch.Attempt != attempt {
		return nil
	}
	delete(l.outstanding, seq)
	return sent
}

// release allows the agent to drop the result of a sequence. The agent receives
// the release with the next dispatch or heartbeat.
func (l *agentLink) release(seq uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.unreleased[seq]; ok {
		delete(l.unreleased, seq)
		l.pendingReleases = append(l.pendingReleases, seq)
	}
}

// queueCancel requests the cancellation of a task if it is outstanding.
func (l *agentLink) queueCancel(seq uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.outstanding[seq]; ok {
		l.pendingCancels = append(l.pendingCancels, seq)
	}
}

// dueMessages returns the Cancel or Heartbeat message that is due now, if any.
func (l *agentLink) dueMessages(now time.Time, self wire.Incarnation, configOffset uint64) []wire.Message {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.connected {
		return nil
	}
	var due []wire.Message
	if len(l.pendingCancels) > 0 && !now.Before(l.nextCancelAt) {
		due = append(due, &wire.Cancel{Entry: self, Seqs: l.pendingCancels})
		l.pendingCancels = nil
		l.nextCancelAt = now.Add(cancelInterval)
	}
	if len(due) == 0 && now.Sub(l.lastSent) >= wire.HeartbeatInterval {
		due = append(due, &wire.Heartbeat{Released: l.takePendingReleases(), ConfigOffset: configOffset})
	}
	if len(due) > 0 {
		l.lastSent = now
	}
	return due
}

// markConfigSent reports whether the agent has to be sent the configuration at
// this offset, and records it as sent: the connection either delivers it or
// ends.
func (l *agentLink) markConfigSent(offset uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.connected || l.configOffset >= offset {
		return false
	}
	l.configOffset = offset
	return true
}
