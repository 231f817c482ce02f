package scheduler

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/request/job"
	"pgregory.net/rapid"
)

// schedulerModel tracks every task from its admission to its end and compares
// the scheduler with it.
type schedulerModel struct {
	t         *rapid.T
	s         *Scheduler
	now       time.Time
	random    *rand.Rand
	waiting   map[TaskID]Task
	running   map[TaskID]Assignment
	live      map[wire.Incarnation]Target
	lastIndex int
}

// Guards against tasks that are lost, sent twice, sent past their deadline, to a
// target that has left, or beyond its slots and memory, under any order of
// calls.
func TestNoTaskIsLostOrSentTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		policy := rapid.SampledFrom([]Policy{Random, LeastOutstanding, TwoChoices}).Draw(t, "policy")
		m := &schedulerModel{t: t, s: New(Settings{Policy: policy, QueueLimit: 50}), now: start, random: newRandom(),
			waiting: map[TaskID]Task{}, running: map[TaskID]Assignment{}, live: map[wire.Incarnation]Target{}}
		t.Repeat(map[string]func(*rapid.T){
			"admit":  m.admit,
			"assign": m.assign,
			"finish": m.finish,
			"cancel": m.cancel,
			"expire": m.expire,
			"join":   m.addTarget,
			"leave":  m.removeTarget,
			"wait": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
			},
			"configure": func(t *rapid.T) {
				m.s.Configure(Settings{Policy: rapid.SampledFrom([]Policy{Credits, TwoChoices}).Draw(t, "policy"), QueueLimit: 50})
			},
			"": m.check,
		})
	})
}

func (m *schedulerModel) admit(t *rapid.T) {
	count := rapid.IntRange(1, 5).Draw(t, "count")
	deadline := m.now.Add(time.Duration(rapid.IntRange(1, 10).Draw(t, "deadline")) * time.Second)
	priority := rapid.SampledFrom([]job.Priority{job.Urgent, job.Batch}).Draw(t, "priority")
	needs := job.Needs{MemoryMB: rapid.IntRange(0, 4).Draw(t, "memory")}
	var tasks []Task
	for range count {
		m.lastIndex++
		tasks = append(tasks, Task{ID: TaskID{Index: m.lastIndex}, Priority: priority, Needs: needs,
			Enqueued: m.now, Deadline: deadline})
	}
	if m.s.Admit(m.now, tasks) != nil {
		return
	}
	for _, task := range tasks {
		m.waiting[task.ID] = task
	}
}

func (m *schedulerModel) assign(t *rapid.T) {
	for _, a := range m.s.Assign(m.now, m.random) {
		task, waits := m.waiting[a.Task.ID]
		if !waits || !task.Deadline.After(m.now) {
			t.Fatalf("task %d sent: waits %v, deadline in %v", a.Task.ID.Index, waits, task.Deadline.Sub(m.now))
		}
		if _, live := m.live[a.Target]; !live {
			t.Fatalf("task %d sent to target %d, which was removed", a.Task.ID.Index, a.Target)
		}
		delete(m.waiting, task.ID)
		m.running[task.ID] = a
	}
	for id, target := range m.live {
		count, memory := 0, 0
		for _, a := range m.running {
			if a.Target == id {
				count++
				memory += a.Task.Needs.MemoryMB
			}
		}
		if count > target.Slots || memory > target.MemoryMB {
			t.Fatalf("target %d: %d tasks on %d slots, %d of %d MB", id, count, target.Slots, memory, target.MemoryMB)
		}
	}
}

func (m *schedulerModel) finish(t *rapid.T) {
	a, found := draw(t, m.running, func(a Assignment) int { return a.Task.ID.Index })
	if !found {
		t.Skip("nothing runs")
	}
	end := End(rapid.IntRange(int(EndOK), int(EndBusy)).Draw(t, "end"))
	m.s.Finish(m.now, a.Target, a.Task.ID, end, 100*time.Millisecond)
	delete(m.running, a.Task.ID)
	if (end == EndBusy || end == EndNotStarted) && m.s.Retry(m.now, a.Task) {
		m.waiting[a.Task.ID] = a.Task
	}
}

func (m *schedulerModel) cancel(t *rapid.T) {
	task, found := draw(t, m.waiting, func(task Task) int { return task.ID.Index })
	if !found {
		t.Skip("nothing waits")
	}
	if !m.s.Cancel(task.ID) {
		t.Fatalf("task %d waits and was not cancelled", task.ID.Index)
	}
	delete(m.waiting, task.ID)
}

func (m *schedulerModel) expire(t *rapid.T) {
	for _, task := range m.s.Expire(m.now) {
		if _, waits := m.waiting[task.ID]; !waits {
			t.Fatalf("task %d expired but did not wait", task.ID.Index)
		}
		delete(m.waiting, task.ID)
	}
	for _, task := range m.waiting {
		if !task.Deadline.After(m.now) {
			t.Fatalf("task %d waits past its deadline", task.ID.Index)
		}
	}
}

func (m *schedulerModel) addTarget(t *rapid.T) {
	id := wire.Incarnation(rapid.IntRange(1, 6).Draw(t, "id"))
	target := Target{ID: id, Zone: string(rune('a' + id%2)), Slots: 1 + int(id)%3, MemoryMB: 4}
	m.s.SetTarget(m.now, target)
	m.live[id] = target
}

func (m *schedulerModel) removeTarget(t *rapid.T) {
	target, found := draw(t, m.live, func(target Target) int { return int(target.ID) })
	if !found {
		t.Skip("no target")
	}
	m.s.RemoveTarget(m.now, target.ID)
	delete(m.live, target.ID)
}

// check compares the state of the scheduler with the model.
func (m *schedulerModel) check(t *rapid.T) {
	if n := m.s.queue.len(); n != len(m.waiting) {
		t.Fatalf("%d tasks wait, want %d", n, len(m.waiting))
	}
	if len(m.s.running) != len(m.running) {
		t.Fatalf("%d tasks run, want %d", len(m.s.running), len(m.running))
	}
	if n := m.s.Violations(); n != 0 {
		t.Fatalf("%d violations", n)
	}
	m.checkPool(t)
	for id := range m.s.targets {
		if _, live := m.live[id]; !live && len(m.s.targets[id].running) == 0 {
			t.Fatalf("target %d was removed and is still tracked", id)
		}
	}
}

// checkPool compares the totals and lists of the pool, which are updated
// incrementally, with recomputed ones.
func (m *schedulerModel) checkPool(t *rapid.T) {
	m.s.refreshTimeDependent(m.now)
	var want poolTotals
	available := 0
	for _, target := range m.s.liveTargets {
		room := max(0, target.room(m.now, &m.s.settings))
		want = want.add(m.s.contribution(m.now, target, room))
		if room > 0 {
			available++
		}
	}
	if m.s.pool.totals != want || len(m.s.pool.available) != available {
		t.Fatalf("totals %+v with %d available targets, want %+v with %d", m.s.pool.totals, len(m.s.pool.available), want, available)
	}
}

// draw picks a random value of a map. The sorting makes the choice repeatable.
func draw[K comparable, V any](t *rapid.T, values map[K]V, order func(V) int) (V, bool) {
	var none V
	if len(values) == 0 {
		return none, false
	}
	sorted := slices.SortedFunc(maps.Values(values), func(a, b V) int { return cmp.Compare(order(a), order(b)) })
	return rapid.SampledFrom(sorted).Draw(t, "picked"), true
}
