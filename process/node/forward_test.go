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
	"github.com/azurerouter/azurerouter/version/routing"
)

// forwardPair is an entry that forwards all submissions to another one, which has a target.
type forwardPair struct {
	t            *testing.T
	origin, peer *Entry
	conn         *stream.Conn
	results      chan dispatch.Result
	// leave removes the caller of the last submission.
	leave func()
}

const forwardedID = batch.ID("0123456789abcdef")

func newForwardPair(t *testing.T) *forwardPair {
	p := &forwardPair{t: t, results: make(chan dispatch.Result, 8)}
	newEntry := func(name string, agent wire.Incarnation) *Entry {
		observer := observe.New(name, io.Discard)
		t.Cleanup(func() { observer.Close() })
		e := NewEntry(EntryOptions{Node: name, Cores: 1}, observer, observer.Decisions(100, 100))
		e.table.Store(routing.NewTable(routing.Config{Version: 1}))
		enroll := enrolment(agent, clock.Now())
		enroll.Node, enroll.Target.Target = "agent-of-"+name, "target-of-"+name
		e.Core.HandleEnroll(enroll)
		return e
	}
	p.origin, p.peer = newEntry("origin", 1), newEntry("peer", 2)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		_ = stream.Serve(listener, func(c *stream.Conn) stream.Handler { return p.peer.acceptLink(c) })
	}()
	link := &processLink{entry: p.origin, addr: listener.Addr().String(), done: make(chan struct{})}
	if p.conn, err = stream.Dial(t.Context(), link.addr, func(c *stream.Conn) stream.Handler { return link.sendHello(c) }); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.conn.Close)
	p.eventually("the entries are connected", func() bool { return len(p.origin.peerLinks()) == 1 && len(p.peer.peerLinks()) == 1 })
	p.peer.forwarder.spare.Store(500)
	p.eventually("the hello of the peer", func() bool { return link.LastHeard().After(time.Unix(1, 0)) })
	link.spare.Store(500)
	p.origin.forwarder.sharePerMille.Store(1000)
	return p
}

// keepAlive sends what an origin and a peer send one another, until the test ends.
func (p *forwardPair) keepAlive() {
	go func() {
		for p.t.Context().Err() == nil {
			p.origin.forwarder.renew()
			p.peer.forwarder.renew()
			time.Sleep(wire.SessionRenewInterval)
		}
	}()
}

func (p *forwardPair) eventually(what string, holds func() bool) {
	p.t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if holds() {
			return
		}
	}
	p.t.Fatalf("%s: not seen", what)
}

func (p *forwardPair) submit() {
	s := batch.Submission{Service: "card", Queue: "q", MaxAttempts: 1, Objective: 20 * time.Second, CallerTimeout: 20 * time.Second,
		Job: batch.Job{ID: forwardedID, Steps: []batch.Step{{Tasks: 1, Demand: batch.Resources{MilliCPU: 1000, MemoryMiB: 64}, Estimate: time.Second}}}}
	p.leave = p.origin.Submit(s, func(r dispatch.Result) { p.results <- r })
}

// awaitRun waits until a run of the job is ordered at an entry.
func (p *forwardPair) awaitRun(e *Entry) {
	p.t.Helper()
	p.eventually("a run", func() bool { return e.Core.HasRuns(forwardedID) })
}

// endRun reports the end of the job's run at an entry.
func (p *forwardPair) endRun(e *Entry, agent wire.Incarnation, end batch.End) {
	e.Core.HandleReport(agent, &wire.AgentReport{Clock: clock.Now().UnixMicro(), HandledSequence: 1 << 40, ConfirmedSequence: 1 << 40, Free: testRoom,
		Runs: []wire.RunReport{{Run: batch.Run{Task: batch.Task{Job: forwardedID}, Number: 1}, End: end, RanMS: 10}}})
}

func (p *forwardPair) wantResult(code dispatch.Code) {
	p.t.Helper()
	select {
	case r := <-p.results:
		if r.Code != code {
			p.t.Errorf("result %+v, want %s", r, code)
		}
	case <-time.After(10 * time.Second):
		p.t.Errorf("no result, want %s", code)
	}
}

// Guards against a forwarded job whose caller gets no answer, another one than the job has,
// or the answer "not run" though a task may have run; against one that runs on although
// nobody waits for it, or that runs at both entries at the same time.
func TestForwardedSubmission(t *testing.T) {
	for name, test := range map[string]func(p *forwardPair){
		"is answered": func(p *forwardPair) {
			p.keepAlive()
			p.awaitRun(p.peer)
			p.endRun(p.peer, 2, batch.EndDone)
			p.wantResult(dispatch.Completed)
			if p.origin.forwarder.isOpen(forwardedID) || !p.origin.Core.KnowsJob(forwardedID) || p.origin.Core.ActiveJobs() > 0 {
				p.t.Error("the origin does not know the job as ended")
			}
		},
		"is declined by a stopping entry": func(p *forwardPair) {
			p.awaitRun(p.origin)
			p.endRun(p.origin, 1, batch.EndDone)
			p.wantResult(dispatch.Completed)
			if p.peer.Core.KnowsJob(forwardedID) {
				p.t.Error("the stopping entry has taken the job")
			}
		},
		"of a caller who leaves": func(p *forwardPair) {
			p.keepAlive()
			p.awaitRun(p.peer)
			p.leave()
			p.eventually("the end of the job", func() bool { return p.peer.ActiveJobs() == 0 })
			if !p.origin.forwarder.isOpen(forwardedID) {
				p.t.Error("closed while the run is alive")
			}
			p.endRun(p.peer, 2, batch.EndStopped)
			p.eventually("the end of its runs", func() bool { return !p.origin.forwarder.isOpen(forwardedID) })
		},
		"is submitted again": func(p *forwardPair) {
			p.keepAlive()
			p.awaitRun(p.peer)
			p.submit()
			p.wantResult(dispatch.GaveUp) // of the first submission
			time.Sleep(50 * time.Millisecond)
			if p.origin.Core.HasRuns(forwardedID) {
				p.t.Fatal("runs at both entries")
			}
			p.endRun(p.peer, 2, batch.EndStopped)
			p.awaitRun(p.origin)
			p.endRun(p.origin, 1, batch.EndDone)
			p.wantResult(dispatch.Completed)
		},
		"is withdrawn by a third entry": func(p *forwardPair) {
			p.keepAlive()
			p.awaitRun(p.peer)
			if reply := p.origin.serveCall(p.t.Context(), &wire.JobCall{Action: wire.WithdrawJob, ID: forwardedID}); !reply.RunsAlive {
				p.t.Errorf("reply %+v while a run is alive", reply)
			}
			p.wantResult(dispatch.GaveUp)
			p.endRun(p.peer, 2, batch.EndStopped)
			p.eventually("the end of its runs", func() bool { return !p.origin.forwarder.isOpen(forwardedID) })
			if reply := p.origin.serveCall(p.t.Context(), &wire.JobCall{Action: wire.WithdrawJob, ID: forwardedID}); reply.RunsAlive || !reply.Started {
				p.t.Errorf("reply %+v after the run has ended", reply)
			}
		},
		"whose connection ends": func(p *forwardPair) {
			p.awaitRun(p.peer)
			p.conn.Close()
			p.wantResult(dispatch.GaveUp)
			p.eventually("the end of the job", func() bool { return p.peer.ActiveJobs() == 0 })
			if !p.origin.forwarder.isOpen(forwardedID) || p.origin.forwarder.runsEnd(forwardedID).Before(clock.Now()) {
				p.t.Error("the runs count as ended at once")
			}
		},
		"of an entry that falls silent": func(p *forwardPair) {
			p.awaitRun(p.peer)
			time.Sleep(wire.SessionTTL + 50*time.Millisecond)
			p.peer.forwarder.renew()
			if p.peer.ActiveJobs() != 0 {
				p.t.Error("the job goes on without its entry")
			}
			p.wantResult(dispatch.GaveUp)
		},
		"to an entry that falls silent": func(p *forwardPair) {
			p.awaitRun(p.peer)
			time.Sleep(maxPeerSilence + 50*time.Millisecond)
			p.origin.forwarder.renew()
			p.wantResult(dispatch.GaveUp)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := newForwardPair(t)
			if name == "is declined by a stopping entry" {
				p.peer.stopping.Store(true)
			}
			p.submit()
			test(p)
		})
	}
}
