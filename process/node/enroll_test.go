package node

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/azurerouter/azurerouter/connection/stream"
	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/process/clock"
	"github.com/azurerouter/azurerouter/process/dispatch"
	"github.com/azurerouter/azurerouter/process/observe"
	"github.com/azurerouter/azurerouter/request/batch"
)

var testRoom = batch.Resources{MilliCPU: 8000, MemoryMiB: 8000}

// acceptAgent returns the entry's link to a new connection, of which no message has been
// handled yet.
func acceptAgent(t *testing.T, e *Entry) *processLink {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	var link *processLink
	conn, err := stream.Dial(t.Context(), listener.Addr().String(), func(c *stream.Conn) stream.Handler {
		link = e.acceptLink(c)
		return link
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(conn.Close)
	return link
}

// enrolment returns the first message of an agent of instance agent-1 that runs nothing.
func enrolment(agent wire.Incarnation, at time.Time) *wire.Enroll {
	return &wire.Enroll{Agent: agent, Node: "agent-1", Zone: "a", Clock: at.UnixMicro(), Free: testRoom,
		Target: wire.TargetState{Target: "target-1", Service: "card", Capacity: testRoom, Revision: 1}}
}

// Guards against runs that count as lost, and start again elsewhere, because an entry that
// lacks processor time handles the enrolment on an earlier connection after a later one: of
// the same agent, or of one that has been replaced.
func TestDelayedEnrolmentEndsNoRuns(t *testing.T) {
	for name, earlier := range map[string]wire.Incarnation{"same agent": 2, "replaced agent": 1} {
		t.Run(name, func(t *testing.T) {
			observer := observe.New("entry", io.Discard)
			e := NewEntry(EntryOptions{Node: "entry-1"}, observer, observer.Decisions(100, 100))
			before := clock.Now()
			delayed, present := acceptAgent(t, e), acceptAgent(t, e)
			e.handleEnroll(present, enrolment(2, clock.Now()))
			s := batch.Submission{Service: "card", Queue: "q", MaxAttempts: 1, Objective: time.Second, CallerTimeout: time.Second,
				Job: batch.Job{ID: "0123456789abcdef", Steps: []batch.Step{{Tasks: 1, Demand: batch.Resources{MilliCPU: 1000, MemoryMiB: 64}, Estimate: time.Second}}}}
			e.Submit(s, func(dispatch.Result) {})
			runs := func() int { return e.Core.Dump().Services[0].Targets[0].Runs }
			if runs() != 1 {
				t.Fatalf("%d runs after the submission, want 1", runs())
			}
			e.handleEnroll(delayed, enrolment(earlier, before))
			if lost := e.Core.Counts().RunsLost; lost != 0 || runs() != 1 {
				t.Errorf("%d runs lost, %d alive, want the one to be alive", lost, runs())
			}
		})
	}
}

// Guards against an agent that counts as disconnected although it is connected, and so gets
// neither orders nor stops: the end of its former connection is handled beside the enrolment on the
// next one.
func TestEndOfAFormerConnectionDisconnectsNoAgent(t *testing.T) {
	observer := observe.New("entry", io.Discard)
	e := NewEntry(EntryOptions{Node: "entry-1"}, observer, observer.Decisions(100, 100))
	conn := acceptAgent(t, e).conn
	link := func(number uint64) *processLink {
		return &processLink{entry: e, conn: conn, number: number, done: make(chan struct{})}
	}
	former := link(1)
	e.handleEnroll(former, enrolment(2, clock.Now()))
	for number := uint64(2); number < 5000; number++ {
		next := link(number)
		go former.Closed(nil)
		e.handleEnroll(next, enrolment(2, clock.Now()))
		e.Core.Tick()
		<-former.done
		if !e.Core.Dump().Services[0].Targets[0].Connected {
			t.Fatalf("disconnected after connection %d was closed", number-1)
		}
		former = next
	}
}

// Guards against asking an entry on a silent connection while another one to it works.
func TestCallsTakeTheConnectionThatWasHeardLast(t *testing.T) {
	observer := observe.New("entry", io.Discard)
	e := NewEntry(EntryOptions{Node: "entry-1"}, observer, observer.Decisions(100, 100))
	heard := &processLink{entry: e, name: "entry-2"}
	heard.lastHeard.Store(2)
	silent := &processLink{entry: e, name: "entry-2"}
	silent.lastHeard.Store(1)
	e.peers[heard], e.peers[silent] = true, true
	for range 100 {
		if links := e.peerLinks(); len(links) != 1 || links[0] != heard {
			t.Fatal("the silent connection was taken")
		}
	}
}
