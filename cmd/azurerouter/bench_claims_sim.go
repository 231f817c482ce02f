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
	simWindow = 10 * time.Minute
	// simOneWay is the one-way delay between entry and log within a region.
	simOneWay   = 500 * time.Microsecond
	simPageSize = 1000
	// simTimeout is when an entry gives up an append or read that hangs.
	simTimeout = 2 * time.Second
	// simReadRetry is the pause after a refused read.
	simReadRetry = 500 * time.Millisecond
	simDrain     = time.Minute
)

var errSimTimeout = errors.New("no answer from the log")

// claimsLoad describes one simulated run.
type claimsLoad struct {
	entries    int
	append     time.Duration
	cap        float64
	rate       float64
	idempotent float64
	deadline   time.Duration
	duration   time.Duration
	// outageAt and outageFor place the outage; hang chooses between a log that
	// answers nothing and one that answers 503.
	outageAt, outageFor time.Duration
	hang                bool
	// capacity is the job starts per second that the targets bear; 0 means
	// without limit.
	capacity float64
	seed     uint64
}

// simEvent is a function to call at a virtual time.
type simEvent struct {
	at  time.Time
	seq int
	run func()
}

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
	submitted time.Time
	claim     claims.Claim
	idem      bool
	ended     bool
}

// simEntry is one entry with its claims.
type simEntry struct {
	committer *claims.Committer
	table     *claims.Table
	waiting   map[[16]byte]*simJob
	timer     bool
}

// claimsSim runs entries, log and targets in virtual time.
type claimsSim struct {
	load    claimsLoad
	random  *rand.Rand
	start   time.Time
	now     time.Time
	events  simEvents
	seq     int
	entries []*simEntry
	records []logclient.Record
	// parked are the entries whose read waits for a record.
	parked   []*simEntry
	logFree  time.Time
	runFree  time.Time
	jobs     uint64
	appends  int
	reads    int
	peakWait int
	maxBatch int
	// added is the time from submission to the decision, in microseconds.
	added   *hdrhistogram.Histogram
	finish  func(job *simJob, served bool, reason string)
	backlog time.Duration
}

func newClaimsSim(load claimsLoad) *claimsSim {
	start := time.Unix(0, 0).UTC()
	s := &claimsSim{load: load, random: rand.New(rand.NewPCG(load.seed, 0)), start: start, now: start,
		added: hdrhistogram.New(1, time.Hour.Microseconds(), 3), finish: func(*simJob, bool, string) {}}
	for i := range load.entries {
		table := claims.NewTable(simWindow)
		e := &simEntry{table: table, waiting: make(map[[16]byte]*simJob),
			committer: claims.NewCommitter(wire.Incarnation(i+1), table, simWindow)}
		e.committer.SetEntries(load.entries)
		s.entries = append(s.entries, e)
		s.after(0, func() { s.poll(e) })
	}
	return s
}

func (s *claimsSim) run() {
	s.after(s.gap(), s.arrive)
	end := s.start.Add(s.load.duration + simDrain)
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

// gap draws the time to the next arrival of a Poisson process.
func (s *claimsSim) gap() time.Duration {
	return time.Duration(s.random.ExpFloat64() / s.load.rate * float64(time.Second))
}

func (s *claimsSim) arrive() {
	if s.now.Sub(s.start) >= s.load.duration {
		return
	}
	s.after(s.gap(), s.arrive)
	s.jobs++
	job := &simJob{submitted: s.now, idem: s.random.Float64() < s.load.idempotent}
	if job.idem {
		s.execute(job)
		return
	}
	for i := range 8 {
		job.claim.Key[i] = byte(s.jobs >> (8 * i))
	}
	job.claim.SubmittedAt = s.now
	e := s.entries[s.random.IntN(len(s.entries))]
	e.waiting[job.claim.Key] = job
	e.committer.Add(s.now, job.claim)
	s.peakWait = max(s.peakWait, s.waitingClaims())
	s.after(s.load.deadline, func() { s.expire(e, job) })
	s.tryAppend(e)
}

func (s *claimsSim) waitingClaims() (total int) {
	for _, e := range s.entries {
		total += e.committer.Waiting()
	}
	return total
}

func (s *claimsSim) expire(e *simEntry, job *simJob) {
	if e.committer.Withdraw(job.claim.Key) {
		delete(e.waiting, job.claim.Key)
		s.end(job, false, "log_unavailable")
	}
}

// execute starts the job at the targets, first come first served, or refuses
// it if its turn would come after its deadline.
func (s *claimsSim) execute(job *simJob) {
	if s.load.capacity == 0 {
		s.end(job, true, "")
		return
	}
	if s.runFree.Before(s.now) {
		s.runFree = s.now
	}
	if s.runFree.After(job.submitted.Add(s.load.deadline)) {
		s.end(job, false, "overloaded")
		return
	}
	s.runFree = s.runFree.Add(time.Duration(float64(time.Second) / s.load.capacity))
	s.backlog = s.runFree.Sub(s.now)
	s.end(job, true, "")
}

func (s *claimsSim) end(job *simJob, served bool, reason string) {
	if job.ended {
		panic("a job ended twice")
	}
	job.ended = true
	s.finish(job, served, reason)
}

func (s *claimsSim) decide(e *simEntry, decisions []claims.Decision) {
	for _, d := range decisions {
		job := e.waiting[d.Key]
		delete(e.waiting, d.Key)
		s.added.RecordValue(s.now.Sub(job.submitted).Microseconds())
		if d.Verdict == claims.Won {
			s.execute(job)
		} else {
			s.end(job, false, "not owned")
		}
	}
}

func (s *claimsSim) down() bool {
	since := s.now.Sub(s.start) - s.load.outageAt
	return since >= 0 && since < s.load.outageFor
}

func (s *claimsSim) tryAppend(e *simEntry) {
	batch, ok := e.committer.Next(s.now, s.random)
	if !ok {
		s.awaitBudget(e)
		return
	}
	s.appends++
	s.maxBatch = max(s.maxBatch, batch.Size)
	s.after(s.load.append/2, func() { s.logAppend(e, batch) })
}

// awaitBudget tries again when the append budget allows it.
func (s *claimsSim) awaitBudget(e *simEntry) {
	wait := e.committer.NextAllowed().Sub(s.now)
	if e.timer || wait <= 0 || e.committer.Waiting() == 0 {
		return
	}
	e.timer = true
	s.after(wait, func() {
		e.timer = false
		s.tryAppend(e)
	})
}

// logAppend handles an append that has reached the log.
func (s *claimsSim) logAppend(e *simEntry, batch claims.Batch) {
	if s.down() {
		wait, err := s.load.append/2, errors.Mark(errSimTimeout, logclient.ErrNotAppended)
		if s.load.hang {
			wait, err = simTimeout, errSimTimeout
		}
		s.after(wait, func() { s.appended(e, batch, 0, err) })
		return
	}
	if s.logFree.Before(s.now) {
		s.logFree = s.now
	}
	wait := s.logFree.Sub(s.now)
	s.logFree = s.logFree.Add(time.Duration(float64(time.Second) / s.load.cap))
	s.after(wait, func() {
		offset := uint64(len(s.records) + 1)
		s.records = append(s.records, logclient.Record{Offset: offset, Time: s.now, Data: batch.Data})
		s.after(s.load.append/2, func() { s.appended(e, batch, offset, nil) })
		parked := s.parked
		s.parked = nil
		for _, reader := range parked {
			s.logRead(reader)
		}
	})
}

func (s *claimsSim) appended(e *simEntry, batch claims.Batch, offset uint64, err error) {
	s.decide(e, e.committer.Appended(s.now, batch.Nonce, offset, err))
	if i := slices.Index(s.parked, e); i >= 0 && e.committer.MustRead() {
		// The entry gives up the long read for one that does not wait.
		s.parked = slices.Delete(s.parked, i, i+1)
		s.poll(e)
	}
	s.tryAppend(e)
}

// poll keeps one long read of an entry outstanding.
func (s *claimsSim) poll(e *simEntry) {
	s.reads++
	s.after(simOneWay, func() { s.logRead(e) })
}

func (s *claimsSim) logRead(e *simEntry) {
	if s.down() {
		wait := simReadRetry
		if s.load.hang {
			wait = simTimeout
		}
		s.after(wait, func() { s.poll(e) })
		return
	}
	from := e.table.Next()
	end := uint64(len(s.records) + 1)
	if from == end && !e.committer.MustRead() {
		s.parked = append(s.parked, e)
		return
	}
	page := logclient.Page{First: 1, Next: end, Records: s.records[from-1 : min(from-1+simPageSize, end-1)]}
	s.after(simOneWay, func() {
		decisions, err := e.committer.Records(s.now, page)
		if err != nil {
			panic(err)
		}
		s.decide(e, decisions)
		s.poll(e)
		s.tryAppend(e)
	})
}
