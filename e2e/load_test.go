package e2e

import (
	"fmt"
	"sync"
	"testing"
)

// answered is one call of a load and its end.
type answered struct {
	s submission
	r reply
}

// load is a number of callers that submit one call after another.
type load struct {
	stop chan struct{}
	done sync.WaitGroup
	mu   sync.Mutex
	ends []answered
}

// callsPerCaller bounds a load in count; a test ends it much earlier.
const callsPerCaller = 3000

// startLoad starts callers with a connection of their own. Even callers send
// jobs of four tasks, odd ones idempotent requests. A caller ends at the first
// call for which goOn reports false.
func startLoad(t *testing.T, c *cluster, callers int, entries []*process, goOn func(reply) bool) *load {
	l := &load{stop: make(chan struct{})}
	ctx := c.context()
	for caller := range callers {
		client := newCaller(t)
		entry := entries[caller%len(entries)]
		l.done.Add(1)
		go func() {
			defer l.done.Done()
			for i := range callsPerCaller {
				select {
				case <-l.stop:
					return
				default:
				}
				s := newIdempotent(10)
				if caller/len(entries)%2 == 0 {
					s = newJob(fmt.Sprintf("load-%d-%d", caller, i), 4, 10)
				}
				r := submit(ctx, client, entry, s)
				l.mu.Lock()
				l.ends = append(l.ends, answered{s, r})
				l.mu.Unlock()
				if !goOn(r) {
					return
				}
			}
		}()
	}
	return l
}

// Sizes of a load. loadWithinBacklog is at most 10 tasks at a time, which one agent
// alone accepts (8 slots and a backlog of 2), so that no agent refuses a task as
// busy. loadAboveSlots is at most 30 tasks.
const (
	loadWithinBacklog = 4
	loadAboveSlots    = 12
)

func always(reply) bool { return true }

// Guards against callers that are refused, or whose jobs fail, because two entries
// that do not see each other's dispatches send more than an agent accepts: a
// task that an agent refuses as busy has to wait in the queue. The queue limit
// and the deadlines are far from being reached.
func TestLoadAboveSlotsCompletes(t *testing.T) {
	c := newCluster(t, 2, 2)
	l := startLoad(t, c, loadAboveSlots, c.entries, always)
	c.await("the load has run for a while", func() bool { return l.count() > 200 })
	for _, end := range l.end() {
		checkComplete(t, end.s, end.r)
	}
}

// count returns how many calls have ended.
func (l *load) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.ends)
}

// end stops the callers and returns all ends.
func (l *load) end() []answered {
	close(l.stop)
	l.done.Wait()
	return l.ends
}
