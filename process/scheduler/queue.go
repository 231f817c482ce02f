package scheduler

import (
	"container/heap"
	"container/list"
	"time"

	"github.com/azurerouter/azurerouter/request/job"
)

// class groups tasks that are interchangeable for the choice of a target.
type class struct {
	priority job.Priority
	needs    job.Needs
}

// queue holds the waiting tasks: one list per class in order of arrival, and a
// heap of deadlines.
type queue struct {
	classes   map[class]*list.List
	ordered   []class
	elements  map[TaskID]*item
	deadlines deadlineHeap
	waiting   map[job.Priority]int
	// batchSince is the time since which at least one batch task has waited.
	batchSince time.Time
}

// item is a task in the queue. A task that was set aside is in no class any more
// and is due at once.
type item struct {
	task    Task
	element *list.Element
	aside   bool
	due     time.Time
	heapAt  int
}

func newQueue() queue {
	return queue{classes: map[class]*list.List{}, elements: map[TaskID]*item{}, waiting: map[job.Priority]int{}}
}

func (q *queue) len() int { return len(q.elements) }

func (q *queue) has(id TaskID) bool {
	_, waiting := q.elements[id]
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
		q.ordered = append(q.ordered, c)
	}
	it := &item{task: task, due: task.Deadline}
	after := tasks.Back()
	for after != nil && after.Value.(*item).task.Enqueued.After(task.Enqueued) {
		after = after.Prev()
	}
	if after == nil {
		it.element = tasks.PushFront(it)
	} else {
		it.element = tasks.InsertAfter(it, after)
	}
	q.elements[task.ID] = it
	heap.Push(&q.deadlines, it)
	if task.Priority == job.Batch && q.waiting[job.Batch] == 0 {
		q.batchSince = now
	}
	q.waiting[task.Priority]++
}

func (q *queue) remove(id TaskID) bool {
	it, waiting := q.elements[id]
	if !waiting {
		return false
	}
	if !it.aside {
		q.leaveClass(it)
	}
	heap.Remove(&q.deadlines, it.heapAt)
	delete(q.elements, id)
	return true
}

// setAside keeps a task from being sent until Expire returns it.
func (q *queue) setAside(id TaskID) {
	it := q.elements[id]
	q.leaveClass(it)
	it.aside, it.due = true, time.Time{}
	heap.Fix(&q.deadlines, it.heapAt)
}

func (q *queue) leaveClass(it *item) {
	c := classOf(it.task)
	tasks := q.classes[c]
	tasks.Remove(it.element)
	q.waiting[c.priority]--
	if tasks.Len() == 0 {
		q.dropClass(c)
	}
}

func (q *queue) dropClass(c class) {
	delete(q.classes, c)
	for i := range q.ordered {
		if q.ordered[i] == c {
			q.ordered = append(q.ordered[:i], q.ordered[i+1:]...)
			return
		}
	}
}

func (q *queue) head(c class) Task { return q.classes[c].Front().Value.(*item).task }

func (q *queue) expire(now time.Time) []Task {
	var expired []Task
	for len(q.deadlines) > 0 && !q.deadlines[0].due.After(now) {
		task := q.deadlines[0].task
		expired = append(expired, task)
		q.remove(task.ID)
	}
	return expired
}

// deadlineHeap orders items by deadline, the earliest first.
type deadlineHeap []*item

func (h deadlineHeap) Len() int           { return len(h) }
func (h deadlineHeap) Less(i, j int) bool { return h[i].due.Before(h[j].due) }
func (h deadlineHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapAt, h[j].heapAt = i, j
}

func (h *deadlineHeap) Push(x any) {
	it := x.(*item)
	it.heapAt = len(*h)
	*h = append(*h, it)
}

func (h *deadlineHeap) Pop() any {
	last := len(*h) - 1
	it := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return it
}
