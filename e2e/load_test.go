package e2e

import (
	"fmt"
	"sync"
	"testing"
)

// call is a submission with its reply.
type call struct {
	submission submission
	reply      reply
}

// load is a number of callers, each of which makes one call after another.
type load struct {
	stop  chan struct{}
	group sync.WaitGroup
	mu    sync.Mutex
	calls []call
}

// maxCallsPerCaller limits the number of calls of a load. A test stops it much
// earlier.
const maxCallsPerCaller = 3000

// startLoad starts callers, each with its own HTTP client. At each entry the callers
// alternately send jobs of four tasks and idempotent requests. A caller stops at the
// first reply for which proceed returns false.
func startLoad(t *testing.T, c *cluster, callers int, entries []*process, proceed func(reply) bool) *load {
	l := &load{stop: make(chan struct{})}
	ctx := c.context()
	for caller := range callers {
		client := newClient(t)
		entry := entries[caller%len(entries)]
		l.group.Add(1)
		go func() {
			defer l.group.Done()
			for i := range maxCallsPerCaller {
				select {
				case <-l.stop:
					return
				default:
				}
				s := newIdempotentRequest(10)
				if caller/len(entries)%2 == 0 {
					s = newJob(fmt.Sprintf("load-%d-%d", caller, i), 4, 10)
				}
				r := submit(ctx, client, entry, s)
				l.mu.Lock()
				l.calls = append(l.calls, call{s, r})
				l.mu.Unlock()
				if !proceed(r) {
					return
				}
			}
		}()
	}
	return l
}

// Numbers of callers of a load. callersWithinBacklog have at most 10 tasks at a time,
// which one agent alone accepts (8 slots and a backlog of 2), so that no agent
// refuses a task as busy. callersAboveSlots have at most 30 tasks at a time.
const (
	callersWithinBacklog = 4
	callersAboveSlots    = 12
)

// untilStopped lets the callers of a load proceed until the test stops them.
func untilStopped(reply) bool { return true }

// Guards against refused calls and failed jobs when two entries, which do not see
// each other's dispatches, together send an agent more than it accepts. A task that
// an agent refuses as busy has to wait in the queue. The load stays far below the
// queue limit and the deadlines.
func TestLoadAboveSlotsCompletes(t *testing.T) {
	c := newCluster(t, 2, 2)
	l := startLoad(t, c, callersAboveSlots, c.entries, untilStopped)
	c.await("more than 200 calls are completed", func() bool { return l.completedCalls() > 200 })
	for _, call := range l.stopAndWait() {
		checkComplete(t, call.submission, call.reply)
	}
}

// completedCalls returns the number of calls that have a reply.
func (l *load) completedCalls() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.calls)
}

// stopAndWait stops the callers, waits for the calls in flight and returns all
// calls.
func (l *load) stopAndWait() []call {
	close(l.stop)
	l.group.Wait()
	return l.calls
}
