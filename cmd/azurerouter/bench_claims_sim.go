package main

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"

	"github.com/azurerouter/azurerouter/connection/logclient"
	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/process/claims"
)

const (
	simDedupeWindow = 10 * time.Minute
	// simOneWay is the one-way delay between entry and log within a region.
	simOneWay   = 500 * time.Microsecond
	simPageSize = 1000
	// simTimeout is how long an entry waits for an append or read that hangs.
	simTimeout = 2 * time.Second
	// simReadRetry is the pause after a refused read.
	simReadRetry = 500 * time.Millisecond
	// simDrainTime is how long a run continues after the last arrival.
	simDrainTime = time.Minute
)

var errSimTimeout = errors.New("no answer from the log")

// claimsLoad describes one simulated run.
type claimsLoad struct {
	entries          int
	appendLatency    time.Duration
	appendsPerSecond float64
	jobsPerSecond    float64
	idempotentShare  float64
	deadline         time.Duration
	duration         time.Duration
	// outageStart is relative to the start of the run. During the outage the log does not
	// respond if logHangs is set, and responds with 503 otherwise.
	outageStart, outageDuration time.Duration
	logHangs                    bool
	// targetJobsPerSecond is the job starts per second that the targets can handle; 0 means
	// no limit.
	targetJobsPerSecond float64
	seed                uint64
}

// simEvent is a function to call at a virtual time.
type simEvent struct {
	at  time.Time
	seq int
	run func()
}

// simEvents is a heap ordered by time, then by sequence number.
type simEvents []simEvent

func (e simEvents) Len() int { return len(e) }
func (e simEvents) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].seq < e[j].seq
}
func (e simEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *simEvents) Push(x any)   { *e = append(*e, x.(simEvent)) }
func (e *simEvents) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// simJob is one submission. It ends once, as served or refused.
type simJob struct {
	submitted  time.Time
	claim      claims.Claim
	idempotent bool
	ended      bool
}

// simEntry is an entry with its committer and its table of claims.
type simEntry struct {
	committer   *claims.Committer
	table       *claims.Table
	waitingJobs map[[16]byte]*simJob
	// retryScheduled is set while a timer for the next append is pending.
	retryScheduled bool
}

// claimsSim simulates entries, the log and targets in virtual time.
type claimsSim struct {
	load    claimsLoad
	random  *rand.Rand
	start   time.Time
	now     time.Time
	events  simEvents
	seq     int
	entries []*simEntry
	records []logclient.Record
	// waitingReaders are the entries whose read waits for a new record.
	waitingReaders []*simEntry
	// logFreeAt and targetsFreeAt are when the log and the targets can take the next append
	// and the next job.
	logFreeAt     time.Time
	targetsFreeAt time.Time
	jobs          uint64
	appends       int
	reads         int
	maxWaiting    int
	maxBatch      int
	// decisionLatency is the time from submission to the decision on the claim, in
	// microseconds.
	decisionLatency *hdrhistogram.Histogram
	// onJobEnd is called once for each job. The reason is empty if the job was served.
	onJobEnd func(job *simJob, served bool, reason string)
	// backlog is the time that the targets need for the jobs that they have accepted.
	backlog time.Duration
}

func newClaimsSim(load claimsLoad) *claimsSim {
	start := time.Unix(0, 0).UTC()
	s := &claimsSim{load: load, random: rand.New(rand.NewPCG(load.seed, 0)), start: start, now: start,
		decisionLatency: hdrhistogram.New(1, time.Hour.Microseconds(), 3), onJobEnd: func(*simJob, bool, string) {}}
	for i := range load.entries {
		table := claims.NewTable(simDedupeWindow)
		e := &simEntry{table: table, waitingJobs: make(map[[16]byte]*simJob),
			committer: claims.NewCommitter(wire.Incarnation(i+1), table, simDedupeWindow)}
		e.committer.SetEntries(load.entries)
		s.entries = append(s.entries, e)
		s.after(0, func() { s.startRead(e) })
	}
	return s
}

func (s *claimsSim) run() {
	s.after(s.nextArrivalDelay(), s.arrive)
	end := s.start.Add(s.load.duration + simDrainTime)
	for len(s.events) > 0 && s.events[0].at.Before(end) {
		event := heap.Pop(&s.events).(simEvent)
		s.now = event.at
		event.run()
	}
}

func (s *claimsSim) after(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.events, simEvent{s.now.Add(d), s.seq, run})
}

// nextArrivalDelay draws the time to the next arrival of a Poisson process.
func (s *claimsSim) nextArrivalDelay() time.Duration {
	return time.Duration(s.random.ExpFloat64() / s.load.jobsPerSecond * float64(time.Second))
}

func (s *claimsSim) arrive() {
	if s.now.Sub(s.start) >= s.load.duration {
		return
	}
	s.after(s.nextArrivalDelay(), s.arrive)
	s.jobs++
	job := &simJob{submitted: s.now, idempotent: s.random.Float64() < s.load.idempotentShare}
	if job.idempotent {
		s.execute(job)
		return
	}
	for i := range 8 {
		job.claim.Key[i] = byte(s.jobs >> (8 * i))
	}
	job.claim.SubmittedAt = s.now
	e := s.entries[s.random.IntN(len(s.entries))]
	e.waitingJobs[job.claim.Key] = job
	e.committer.Add(s.now, job.claim)
	s.maxWaiting = max(s.maxWaiting, s.waitingClaims())
	s.after(s.load.deadline, func() { s.expire(e, job) })
	s.tryAppend(e)
}

func (s *claimsSim) waitingClaims() (total int) {
	for _, e := range s.entries {
		total += e.committer.Waiting()
	}
	return total
}

// expire refuses a job whose claim is undecided at its deadline.
func (s *claimsSim) expire(e *simEntry, job *simJob) {
	if e.committer.Withdraw(job.claim.Key) {
		delete(e.waitingJobs, job.claim.Key)
		s.endJob(job, false, "log_unavailable")
	}
}

// execute starts the job at the targets in order of arrival, or refuses it as overloaded
// if it could start only after its deadline.
func (s *claimsSim) execute(job *simJob) {
	if s.load.targetJobsPerSecond == 0 {
		s.endJob(job, true, "")
		return
	}
	if s.targetsFreeAt.Before(s.now) {
		s.targetsFreeAt = s.now
	}
	if s.targetsFreeAt.After(job.submitted.Add(s.load.deadline)) {
		s.endJob(job, false, "overloaded")
		return
	}
	s.targetsFreeAt = s.targetsFreeAt.Add(time.Duration(float64(time.Second) / s.load.targetJobsPerSecond))
	s.backlog = s.targetsFreeAt.Sub(s.now)
	s.endJob(job, true, "")
}

func (s *claimsSim) endJob(job *simJob, served bool, reason string) {
	if job.ended {
		panic("a job ended twice")
	}
	job.ended = true
	s.onJobEnd(job, served, reason)
}

// applyDecisions starts the jobs whose claims were won and refuses the others.
func (s *claimsSim) applyDecisions(e *simEntry, decisions []claims.Decision) {
	for _, d := range decisions {
		job := e.waitingJobs[d.Key]
		delete(e.waitingJobs, d.Key)
		s.decisionLatency.RecordValue(s.now.Sub(job.submitted).Microseconds())
		if d.Result == claims.Won {
			s.execute(job)
		} else {
			s.endJob(job, false, "not owned")
		}
	}
}

func (s *claimsSim) logIsDown() bool {
	since := s.now.Sub(s.start) - s.load.outageStart
	return since >= 0 && since < s.load.outageDuration
}

func (s *claimsSim) tryAppend(e *simEntry) {
	batch, ok := e.committer.NextBatch(s.now, s.random)
	if !ok {
		s.retryWhenAllowed(e)
		return
	}
	s.appends++
	s.maxBatch = max(s.maxBatch, batch.Size)
	s.after(s.load.appendLatency/2, func() { s.logAppend(e, batch) })
}

// retryWhenAllowed calls tryAppend again when the append budget allows it.
func (s *claimsSim) retryWhenAllowed(e *simEntry) {
	wait := e.committer.NextAppendAt().Sub(s.now)
	if e.retryScheduled || wait <= 0 || e.committer.Waiting() == 0 {
		return
	}
	e.retryScheduled = true
	s.after(wait, func() {
		e.retryScheduled = false
		s.tryAppend(e)
	})
}

// logAppend handles an append that arrives at the log.
func (s *claimsSim) logAppend(e *simEntry, batch claims.Batch) {
	if s.logIsDown() {
		wait, err := s.load.appendLatency/2, errors.Mark(errSimTimeout, logclient.ErrNotAppended)
		if s.load.logHangs {
			wait, err = simTimeout, errSimTimeout
		}
		s.after(wait, func() { s.handleAppendResult(e, batch, 0, err) })
		return
	}
	if s.logFreeAt.Before(s.now) {
		s.logFreeAt = s.now
	}
	wait := s.logFreeAt.Sub(s.now)
	s.logFreeAt = s.logFreeAt.Add(time.Duration(float64(time.Second) / s.load.appendsPerSecond))
	s.after(wait, func() {
		offset := uint64(len(s.records) + 1)
		s.records = append(s.records, logclient.Record{Offset: offset, Time: s.now, Data: batch.Data})
		s.after(s.load.appendLatency/2, func() { s.handleAppendResult(e, batch, offset, nil) })
		readers := s.waitingReaders
		s.waitingReaders = nil
		for _, reader := range readers {
			s.logRead(reader)
		}
	})
}

func (s *claimsSim) handleAppendResult(e *simEntry, batch claims.Batch, offset uint64, err error) {
	s.applyDecisions(e, e.committer.HandleAppendResult(s.now, batch.Nonce, offset, err))
	if i := slices.Index(s.waitingReaders, e); i >= 0 && e.committer.ReadRequired() {
		// The entry replaces its long-poll read by one that does not wait.
		s.waitingReaders = slices.Delete(s.waitingReaders, i, i+1)
		s.startRead(e)
	}
	s.tryAppend(e)
}

// startRead sends a long-poll read of an entry. logRead sends the next one after each
// response, so that each entry has one read in flight.
func (s *claimsSim) startRead(e *simEntry) {
	s.reads++
	s.after(simOneWay, func() { s.logRead(e) })
}

// logRead handles a read that arrives at the log.
func (s *claimsSim) logRead(e *simEntry) {
	if s.logIsDown() {
		wait := simReadRetry
		if s.load.logHangs {
			wait = simTimeout
		}
		s.after(wait, func() { s.startRead(e) })
		return
	}
	from := e.table.NextOffset()
	end := uint64(len(s.records) + 1)
	if from == end && !e.committer.ReadRequired() {
		s.waitingReaders = append(s.waitingReaders, e)
		return
	}
	page := logclient.Page{First: 1, Next: end, Records: s.records[from-1 : min(from-1+simPageSize, end-1)]}
	s.after(simOneWay, func() {
		decisions, err := e.committer.ApplyPage(s.now, page)
		if err != nil {
			panic(err)
		}
		s.applyDecisions(e, decisions)
		s.startRead(e)
		s.tryAppend(e)
	})
}
