package node

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/process/clock"
	"github.com/azurerouter/azurerouter/process/decision"
	"github.com/azurerouter/azurerouter/process/dispatch"
	"github.com/azurerouter/azurerouter/process/forwarding"
	"github.com/azurerouter/azurerouter/process/observe"
	"github.com/azurerouter/azurerouter/process/overload"
	"github.com/azurerouter/azurerouter/request/batch"
)

// maxPeerSilence is the time without a message of another entry after which the submissions
// forwarded to it are given up. It is longer than wire.SessionTTL, because an entry that
// forwards is short of processor time and may read messages late.
const maxPeerSilence = wire.RunsLostAfter

// forwarder forwards submissions to other entries while this one is short of processor time,
// and knows which of them may run there. A submission is forwarded once.
type forwarder struct {
	entry *Entry
	cores float64
	// share is used by observe only. sharePerMille is its value in thousandths, spare the
	// processor time that this entry reports to others.
	share         forwarding.Share
	sharePerMille atomic.Int64
	spare         atomic.Int64
	outcomes      map[forwardOutcome]tally.Counter

	mu sync.Mutex
	// open holds the forwarded jobs of which runs may be alive.
	open map[batch.ID]*forwardedJob
}

// forwardOutcome is how a forwarded submission ended.
type forwardOutcome string

const (
	// forwardAnswered: the other entry has replied with a result.
	forwardAnswered forwardOutcome = "answered"
	// forwardDeclined: it did not take the submission, which this entry carried out itself.
	forwardDeclined forwardOutcome = "declined"
	// forwardLost: the connection to it ended or it fell silent.
	forwardLost forwardOutcome = "lost"
	// forwardWithdrawn: the caller left, or submitted the job elsewhere.
	forwardWithdrawn forwardOutcome = "withdrawn"
)

// forwardedJob is a submission that was forwarded.
type forwardedJob struct {
	submission batch.Submission
	at         time.Time
	link       *processLink
	reply      func(dispatch.Result)
	// local is the submission to this entry after the other one has declined it.
	local resubmission
	// withdrawn is set once the other entry is asked to end the job, lost once it can't be
	// reached. The runs have ended by runsEnd then.
	withdrawn, lost bool
	runsEnd         time.Time
}

func newForwarder(e *Entry, cores float64) *forwarder {
	f := &forwarder{entry: e, cores: cores, outcomes: make(map[forwardOutcome]tally.Counter), open: make(map[batch.ID]*forwardedJob)}
	for _, outcome := range []forwardOutcome{forwardAnswered, forwardDeclined, forwardLost, forwardWithdrawn} {
		f.outcomes[outcome] = e.observer.Metrics.Tagged(map[string]string{observe.TagOutcome: string(outcome)}).Counter(observe.SubmissionsForwarded)
	}
	return f
}

// observe takes the load of the entry into account and logs when forwarding begins and ends.
func (f *forwarder) observe(now time.Time, v overload.Verdict) {
	share := f.share.Update(now, v.MeanWait, v.Limited)
	spare := 0
	if f.entry.serves() == nil {
		spare = forwarding.Spare(f.cores, v.Use, share)
	}
	f.spare.Store(int64(spare))
	perMille := int64(1000 * share)
	if before := f.sharePerMille.Swap(perMille); before == 0 == (perMille == 0) {
		return
	}
	outcome := "ended"
	if perMille > 0 {
		outcome = "began"
	}
	f.entry.decisions.Record(decision.Decision{Step: "forwarding", Outcome: outcome, Inputs: []decision.Input{
		{Name: "mean_wait_us", Value: v.MeanWait.Microseconds()}, {Name: "share_per_mille", Value: perMille},
		{Name: "use_percent", Value: int64(100 * v.Use)}}})
}

// load returns what this entry tells others about its load. It takes no lock of the core,
// which may be held when a result is sent.
func (f *forwarder) load() *wire.EntryLoad {
	if f.entry.stopping.Load() {
		return &wire.EntryLoad{}
	}
	return &wire.EntryLoad{SpareMilliCPU: int(f.spare.Load())}
}

// choose returns the connection on which to forward a submission, or nil if this entry
// carries it out itself. A job that is known here stays here.
func (f *forwarder) choose(s batch.Submission) *processLink {
	if share := f.sharePerMille.Load(); share == 0 || rand.Int64N(1000) >= share {
		return nil
	}
	now, links := clock.Now(), f.entry.peerLinks()
	peers := make([]forwarding.Peer, len(links))
	for i, l := range links {
		if pending := l.pending.count(); l.reportsLoad(now, pending > 0) {
			peers[i] = forwarding.Peer{SpareMilliCPU: int(l.spare.Load()), Pending: pending}
		}
	}
	chosen := forwarding.Choose(peers, rand.Float64())
	if chosen < 0 || f.entry.Core.KnowsJob(s.Job.ID) {
		return nil
	}
	return links[chosen]
}

// reportsLoad reports whether the other entry has sent a message within twice the pause after
// which it does, which is short if it carries out submissions of this one.
func (l *processLink) reportsLoad(now time.Time, pending bool) bool {
	pause := 2 * heartbeatInterval
	if pending {
		pause = wire.SessionRenewInterval
	}
	return now.Sub(l.LastHeard()) <= 2*pause
}

// forward sends a submission to another entry. reply and the returned function are those of
// dispatch.Core.Submit.
func (f *forwarder) forward(l *processLink, s batch.Submission, reply func(dispatch.Result)) (cancel func()) {
	j := &forwardedJob{submission: s, at: clock.Now(), link: l, reply: reply}
	if !f.add(j) {
		// Another submission of the job was forwarded just now.
		reply(dispatch.Result{Code: dispatch.GaveUp, Reason: dispatch.ReasonRunsElsewhere})
		return func() {}
	}
	f.entry.Core.NoteForwarding(s)
	f.entry.decisions.Record(decision.Decision{Step: "accept", Job: s.Job.ID, Outcome: "forwarded", Peer: l.name, Version: s.Version, Routine: true})
	number := l.pending.add(func(m wire.JobReply) { f.handleReply(j, m) })
	l.send(&wire.JobCall{Number: number, Action: wire.RunJob, ID: s.Job.ID, Submission: &s})
	select {
	case <-l.done:
		f.giveUp(l)
	default:
	}
	return func() { f.callerLeft(j) }
}

// add adds a job. It reports false if it is there.
func (f *forwarder) add(j *forwardedJob) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.open[j.submission.Job.ID] != nil {
		return false
	}
	f.open[j.submission.Job.ID] = j
	return true
}

// handleReply answers the caller of a job with the reply of the other entry, or carries it
// out here if that declined it.
func (f *forwarder) handleReply(j *forwardedJob, m wire.JobReply) {
	if m.Load != nil {
		j.link.spare.Store(int64(m.Load.SpareMilliCPU))
	}
	f.mu.Lock()
	expected := !j.withdrawn && !j.lost
	if expected {
		delete(f.open, j.submission.Job.ID)
	}
	f.mu.Unlock()
	if !expected {
		return
	}
	if m.Code == wire.JobDeclined {
		f.outcomes[forwardDeclined].Inc(1)
		s := j.submission
		s.CallerTimeout = max(0, s.CallerTimeout-clock.Now().Sub(j.at))
		j.local.submit(func() (cancel func()) { return f.entry.Core.Submit(s, j.reply) })
		return
	}
	f.end(j, forwardAnswered, resultOf(m))
}

// resultOf returns the result in the reply of another entry.
func resultOf(m wire.JobReply) dispatch.Result {
	return dispatch.Result{Code: dispatch.Code(m.Code), Reason: dispatch.Reason(m.Reason), RetryAfter: time.Duration(m.RetryAfterMS) * time.Millisecond}
}

// end keeps the result of a job and answers its caller.
func (f *forwarder) end(j *forwardedJob, outcome forwardOutcome, result dispatch.Result) {
	f.outcomes[outcome].Inc(1)
	f.entry.Core.NoteForwarded(j.submission, result)
	j.reply(result)
}

// callerLeft ends a job whose caller has left.
func (f *forwarder) callerLeft(j *forwardedJob) {
	j.local.leave()
	f.withdraw(j, dispatch.ReasonCallerLeft)
}

// withdrawJob ends a forwarded job, if it is one, because its caller has submitted it again.
func (f *forwarder) withdrawJob(id batch.ID) {
	f.mu.Lock()
	j := f.open[id]
	f.mu.Unlock()
	if j != nil {
		f.withdraw(j, dispatch.ReasonWithdrawn)
	}
}

// withdraw asks the other entry to end a job. The job stays open until none of its runs is
// alive.
func (f *forwarder) withdraw(j *forwardedJob, reason dispatch.Reason) {
	f.mu.Lock()
	if f.open[j.submission.Job.ID] != j || j.withdrawn || j.lost {
		f.mu.Unlock()
		return
	}
	j.withdrawn = true
	f.mu.Unlock()
	f.end(j, forwardWithdrawn, dispatch.Result{Code: dispatch.GaveUp, Reason: reason})
	go func() {
		all := withdrawElsewhere(context.Background(), []withdrawalPeer{j.link}, j.submission.Job.ID)
		if all.known {
			f.entry.Core.NoteForwarded(j.submission, all.result)
		}
		f.closeAt(j, all.runsEnd)
	}()
}

// giveUp answers the callers of all jobs that were forwarded on a connection, because it has
// ended or nothing arrives on it. Their runs may be alive for a while.
func (f *forwarder) giveUp(l *processLink) {
	var jobs []*forwardedJob
	f.mu.Lock()
	for _, j := range f.open {
		if j.link == l && !j.lost && !j.withdrawn {
			j.lost = true
			jobs = append(jobs, j)
		}
	}
	f.mu.Unlock()
	for _, j := range jobs {
		f.end(j, forwardLost, dispatch.Result{Code: dispatch.GaveUp, Reason: dispatch.ReasonRunsElsewhere})
		f.closeAt(j, l.LastHeard().Add(wire.OwnerRunsLostAfter))
	}
}

// closeAt forgets a job once its runs have ended.
func (f *forwarder) closeAt(j *forwardedJob, runsEnd time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	j.runsEnd = runsEnd
	time.AfterFunc(max(0, runsEnd.Sub(clock.Now())), func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.open[j.submission.Job.ID] == j {
			delete(f.open, j.submission.Job.ID)
		}
	})
}

// isOpen reports whether runs of a forwarded job may be alive.
func (f *forwarder) isOpen(id batch.ID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.open[id] != nil
}

// runsEnd returns when the runs of a forwarded job have ended that can't be withdrawn, or
// zero.
func (f *forwarder) runsEnd(id batch.ID) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	if j := f.open[id]; j != nil {
		return j.runsEnd
	}
	return time.Time{}
}

// renew sends a message to the entries that carry out submissions of this one, or the other
// way round, so that each knows that the other is alive. It gives those up that are silent.
// It is called once in wire.SessionRenewInterval.
func (f *forwarder) renew() {
	e := f.entry
	now := clock.Now()
	for _, l := range e.entryLinks() {
		serves := l.served.any()
		if serves && now.Sub(l.LastHeard()) > wire.SessionTTL {
			l.leaveServed()
		}
		forwards := l.pending.any()
		if forwards && now.Sub(l.LastHeard()) > maxPeerSilence {
			f.giveUp(l)
		}
		if serves || forwards {
			l.send(&wire.EntryMembers{PauseMS: heartbeatPause(len(e.members())).Milliseconds(), Load: f.load()})
		}
	}
}
