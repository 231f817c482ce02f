package keeper

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/azurerouter/azurerouter/process/decision"
	"github.com/azurerouter/azurerouter/process/dispatch"
	"github.com/azurerouter/azurerouter/process/ledger"
	"github.com/azurerouter/azurerouter/request/batch"
)

// Dispatcher runs the tasks of durable jobs. dispatch.Core is one.
type Dispatcher interface {
	// AdmitDurable reports whether a new job would be served in time.
	AdmitDurable(s batch.Submission) (dispatch.Result, bool)
	// RunDurable runs what is left of a job. finished is called at most once and
	// must not block.
	RunDurable(d dispatch.Durable, finished func(dispatch.Result))
	// DurableProgress returns how far a job has come and how many ends that
	// covers.
	DurableProgress(id batch.ID) (progress []dispatch.TaskProgress, ends int)
	// DurableStored states that the progress that covers so many ends is stored.
	DurableStored(id batch.ID, ends int)
	// StopDurable stops the runs of a job that has been cancelled.
	StopDurable(id batch.ID)
	// ForgetDurable stops the runs of a job and forgets it.
	ForgetDurable(id batch.ID)
	// SuspendDurable stops the runs of all durable jobs and orders none, or goes
	// on.
	SuspendDurable(suspended bool)
	// HasBegun reports whether a task of a durable job has been started here.
	HasBegun(id batch.ID) bool
}

// Options describe a keeper.
type Options struct {
	Node string
	// Self names this incarnation.
	Self ledger.Owner
	// IsFirst reports whether this entry goes before all others that it is
	// connected to.
	IsFirst func() bool
	// Peers returns the entries that can be asked while the log turns this one
	// away.
	Peers func() []Peer
	// Now counts suspensions and never steps back.
	Now func() time.Time
	// UnixTime is the time of day.
	UnixTime func() time.Time
}

// Keeper is safe for concurrent use. No method of Dispatcher is called while
// changed's lock is held, and finished takes no other lock.
type Keeper struct {
	options Options
	log     Log
	run     Dispatcher
	sink    decision.Sink
	started time.Time
	wake    chan struct{}
	open    sync.Map // of batch.ID, the durable jobs that have not ended
	// haveRead is set once the log has been read for the first time.
	haveRead atomic.Bool
	changed  changes
	mu       sync.Mutex
	self     ledger.Owner
	table    *ledger.Table
	next     uint64
	caughtUp bool
	// healthySince is since when the log can be read without a break, or zero.
	healthySince time.Time
	// away is set while appends are refused.
	away bool
	// mine are the jobs that run here, with the term of the claim.
	mine map[batch.ID]uint64
	// settled are jobs whose end is in the log but has not been read from it.
	settled map[batch.ID]bool
	waiters map[batch.ID][]chan Outcome
	// onTheWay are jobs whose record may be in the log, though it has not been
	// read: nobody may be told that they are refused.
	onTheWay map[batch.ID]bool
	// ending is closed once the job has ended, for callers who ask meanwhile.
	ending map[batch.ID]chan struct{}
	queue  []item
	// written is when the last append that succeeded was sent.
	written   time.Time
	suspended bool
	// answerTime is the usual time of an append; the writer's own.
	answerTime time.Duration
	// notBefore is when tasks of an owner that is gone may start again.
	notBefore map[batch.ID]time.Time
	lives     int
	counters  counters
}

// changes are jobs whose progress has to be written. The lock is taken last.
type changes struct {
	mu     sync.Mutex
	dirty  map[batch.ID]bool
	finals map[batch.ID]ledger.State
}

// item is a record that waits for the writer.
type item struct {
	record ledger.Record
	// accepts is the job that the record accepts, or empty.
	accepts batch.ID
	// done, if set, is told of the outcome.
	done chan<- Outcome
}

// Outcome is the answer to a caller.
type Outcome struct {
	Code Code
	// Refusal explains NotAccepted.
	Refusal dispatch.Result
}

// Code is how a call about a durable job ended.
type Code string

// Values of Code.
const (
	// Accepted: the job, or its cancelling, is in the log.
	Accepted Code = "accepted"
	// NotAccepted: it is not, and never will be.
	NotAccepted Code = "not_accepted"
	// NotKnown: nobody has accepted the job.
	NotKnown Code = "not_known"
	// Undecided: the log has not answered in time.
	Undecided Code = "undecided"
)

const (
	// undecidedAfter is how long a caller waits for the log.
	undecidedAfter = 2500 * time.Millisecond
	// retryAfterAway is what a caller is told while the log is away.
	retryAfterAway = time.Second
	// stateWait is about the time that it takes to record an end.
	stateWait = 80 * time.Millisecond
)

// refusedAway answers callers while the log is away.
var refusedAway = Outcome{Code: NotAccepted, Refusal: dispatch.Result{Code: dispatch.NotRun, Reason: dispatch.ReasonStoreAway, RetryAfter: retryAfterAway}}

// New returns a keeper that does nothing before Run.
func New(options Options, log Log, run Dispatcher, sink decision.Sink) *Keeper {
	if options.Peers == nil {
		options.Peers = func() []Peer { return nil }
	}
	return &Keeper{
		options: options, log: log, run: run, sink: sink, started: options.Now(), wake: make(chan struct{}, 1), self: options.Self,
		table:     ledger.NewTable(),
		mine:      make(map[batch.ID]uint64),
		settled:   make(map[batch.ID]bool),
		onTheWay:  make(map[batch.ID]bool),
		waiters:   make(map[batch.ID][]chan Outcome),
		ending:    make(map[batch.ID]chan struct{}),
		notBefore: make(map[batch.ID]time.Time),
		changed:   changes{dirty: make(map[batch.ID]bool), finals: make(map[batch.ID]ledger.State)},
	}
}

// IsOpen reports whether a job is in the log and has not ended. known is false
// until the log has been read.
func (k *Keeper) IsOpen(id batch.ID) (open, known bool) {
	_, open = k.open.Load(id)
	return open, k.haveRead.Load()
}

// Progressed notes that a task of a job that runs here has ended.
func (k *Keeper) Progressed(id batch.ID) {
	k.changed.mu.Lock()
	k.changed.dirty[id] = true
	k.changed.mu.Unlock()
	k.signal()
}

func (k *Keeper) finished(id batch.ID, state ledger.State) {
	k.changed.mu.Lock()
	k.changed.dirty[id] = true
	if k.changed.finals[id] == "" {
		k.changed.finals[id] = state
	}
	k.changed.mu.Unlock()
	k.signal()
}

func (k *Keeper) signal() {
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

func (k *Keeper) submit(ctx context.Context, s batch.Submission) Outcome {
	k.mu.Lock()
	if _, known := k.table.Job(s.Job.ID); known {
		k.mu.Unlock()
		return Outcome{Code: Accepted}
	}
	pending := k.onTheWay[s.Job.ID] || len(k.waiters[s.Job.ID]) > 0
	if refusal, ok := k.refusal(s); !ok && !pending {
		k.mu.Unlock()
		return Outcome{Code: NotAccepted, Refusal: refusal}
	}
	answer := make(chan Outcome, 1)
	if !pending {
		record, err := ledger.AcceptRecord(1, k.self, ledger.Accepted{Job: s.Job, Service: s.Service, Queue: s.Queue, Priority: s.Priority,
			MaxAttempts: s.MaxAttempts, Objective: s.Objective, Version: s.Version, At: k.options.UnixTime().UnixMilli(),
			Progress: ledger.Progress{State: ledger.Open}})
		if err != nil {
			k.mu.Unlock()
			return Outcome{Code: NotAccepted, Refusal: dispatch.Result{Code: dispatch.NotRun, Reason: dispatch.ReasonUnsupported}}
		}
		k.queue = append(k.queue, item{record: record, accepts: s.Job.ID})
	}
	k.waiters[s.Job.ID] = append(k.waiters[s.Job.ID], answer)
	k.mu.Unlock()
	k.signal()
	return await(ctx, answer)
}

func await(ctx context.Context, answer <-chan Outcome) Outcome {
	ctx, cancel := context.WithTimeout(ctx, undecidedAfter)
	defer cancel()
	select {
	case o := <-answer:
		return o
	case <-ctx.Done():
		return Outcome{Code: Undecided}
	}
}

// refusal reports whether a new job may be taken now.
func (k *Keeper) refusal(s batch.Submission) (dispatch.Result, bool) {
	if !k.caughtUp || k.away {
		return refusedAway.Refusal, false
	}
	return k.run.AdmitDurable(s)
}

// answerWaiters tells the callers who wait for a job.
func (k *Keeper) answerWaiters(id batch.ID, o Outcome) {
	for _, answer := range k.waiters[id] {
		answer <- o
	}
	delete(k.waiters, id)
}

// state answers from what has been read of the log. A caller often asks just
// after the last task has ended, so for a job that goes on it waits a moment.
func (k *Keeper) state(ctx context.Context, id batch.ID) (ledger.State, bool, Code) {
	if ending := k.awaitable(id); ending != nil {
		ctx, cancel := context.WithTimeout(ctx, stateWait)
		defer cancel()
		select {
		case <-ending:
		case <-ctx.Done():
		}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	v, known := k.table.Job(id)
	switch {
	case known:
		begun := len(v.Progress.Tasks) > 0 || k.run.HasBegun(id)
		return v.Progress.State, begun, Accepted
	case !k.caughtUp || k.healthySince.IsZero():
		return "", false, Undecided
	}
	return "", false, NotKnown
}

// awaitable returns what is closed when an open job ends.
func (k *Keeper) awaitable(id batch.ID) <-chan struct{} {
	k.mu.Lock()
	defer k.mu.Unlock()
	v, known := k.table.Job(id)
	if !known || v.Progress.State != ledger.Open {
		return nil
	}
	if k.ending[id] == nil {
		k.ending[id] = make(chan struct{})
	}
	return k.ending[id]
}

func (k *Keeper) cancel(ctx context.Context, id batch.ID) Outcome {
	k.mu.Lock()
	v, known := k.table.Job(id)
	switch {
	case known && (v.Progress.State != ledger.Open || v.Cancelled):
		k.mu.Unlock()
		return Outcome{Code: Accepted}
	case !known && (!k.caughtUp || k.healthySince.IsZero()):
		k.mu.Unlock()
		return Outcome{Code: Undecided}
	case !known:
		k.mu.Unlock()
		return Outcome{Code: NotKnown}
	}
	record, err := ledger.CancelRecord(id)
	if err != nil {
		k.mu.Unlock()
		return Outcome{Code: Undecided}
	}
	answer := make(chan Outcome, 1)
	k.queue = append(k.queue, item{record: record, done: answer})
	k.mu.Unlock()
	k.signal()
	return await(ctx, answer)
}

// Waiting returns how many jobs of a queue have been accepted and not begun.
func (k *Keeper) Waiting(service, queue string) int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.table.Waiting(service, queue, k.run.HasBegun)
}

// Open returns the number of jobs that run here.
func (k *Keeper) Open() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.mine)
}

func (k *Keeper) decided(id batch.ID, step, outcome, reason string, version uint64, inputs ...decision.Input) {
	k.sink.Decided(decision.Decision{Step: step, Job: id, Outcome: outcome, Reason: reason, Version: version, Inputs: inputs})
}
