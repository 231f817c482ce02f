package scheduler

import (
	"container/heap"
	"container/list"
	"time"

	"github.com/azurerouter/azurerouter/request/job"
)

// class groups tasks that have the same priority and needs, so that the same
// targets can take them.
type class struct {
	priority job.Priority
	needs    job.Needs
}

// queue holds the waiting tasks: one list per class in order of arrival, and a
// heap ordered by expiry.
type queue struct {
	classes    map[class]*list.List
	classOrder []class
	byID       map[TaskID]*queuedTask
	expiries   expiryHeap
	// waiting counts the tasks that may still be sent, per priority.
	waiting map[job.Priority]int
	// batchWaitingSince is the time since which at least one batch task has
	// waited without interruption.
	batchWaitingSince time.Time
}

// queuedTask is a task in the queue. A task with expiring set belongs to no
// class and is returned by the next call of expire.
type queuedTask struct {
	task      Task
	element   *list.Element
	expiring  bool
	expiresAt time.Time
	heapIndex int
}

func newQueue() queue {
	return queue{classes: map[class]*list.List{}, byID: map[TaskID]*queuedTask{}, waiting: map[job.Priority]int{}}
}

func (q *queue) len() int { return len(q.byID) }

func (q *queue) has(id TaskID) bool {
	_, waiting := q.byID[id]
	return waiting
}

func classOf(task Task) class { return class{task.Priority, task.Needs} }

// push inserts a task by its time of arrival, so that a retry keeps its place.
func (q *queue) push(now time.Time, task Task) {
	c := classOf(task)
	tasks, known := q.classes[c]
	if !known {
		tasks = list.New()
		q.classes[c] = tasks
		q.classOrder = append(q.classOrder, c)
	}
	it := &queuedTask{task: task, expiresAt: task.Deadline}
	after := tasks.Back()
	for after != nil && after.Value.(*queuedTask).task.Enqueued.After(task.Enqueued) {
		after = after.Prev()
	}
	if after == nil {
		it.element = tasks.PushFront(it)
	} else {
		it.element = tasks.InsertAfter(it, after)
	}
	q.byID[task.ID] = it
	heap.Push(&q.expiries, it)
	if task.Priority == job.Batch && q.waiting[job.Batch] == 0 {
		q.batchWaitingSince = now
	}
	q.waiting[task.Priority]++
}

func (q *queue) remove(id TaskID) bool {
	it, waiting := q.byID[id]
	if !waiting {
		return false
	}
	if !it.expiring {
		q.removeFromClass(it)
	}
	heap.Remove(&q.expiries, it.heapIndex)
	delete(q.byID, id)
	return true
}

// markExpiring keeps a task from being sent and makes the next call of expire
// return it.
func (q *queue) markExpiring(id TaskID) {
	it := q.byID[id]
	q.removeFromClass(it)
	it.expiring, it.expiresAt = true, time.Time{}
	heap.Fix(&q.expiries, it.heapIndex)
}

func (q *queue) removeFromClass(it *queuedTask) {
	c := classOf(it.task)
	tasks := q.classes[c]
	tasks.Remove(it.element)
	q.waiting[c.priority]--
	if tasks.Len() == 0 {
		q.deleteClass(c)
	}
}

func (q *queue) deleteClass(c class) {
	delete(q.classes, c)
	for i := range q.classOrder {
		if q.classOrder[i] == c {
			q.classOrder = append(q.classOrder[:i], q.classOrder[i+1:]...)
			return
		}
	}
}

func (q *queue) head(c class) Task { return q.classes[c].Front().Value.(*queuedTask).task }

func (q *queue) expire(now time.Time) []Task {
	var expired []Task
	for len(q.expiries) > 0 && !q.expiries[0].expiresAt.After(now) {
		task := q.expiries[0].task
		expired = append(expired, task)
		q.remove(task.ID)
	}
	return expired
}

// expiryHeap orders tasks by expiry time, the earliest first.
type expiryHeap []*queuedTask

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].expiresAt.Before(h[j].expiresAt) }
func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

func (h *expiryHeap) Push(x any) {
	it := x.(*queuedTask)
	it.heapIndex = len(*h)
	*h = append(*h, it)
}

func (h *expiryHeap) Pop() any {
	last := len(*h) - 1
	it := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return it
}
