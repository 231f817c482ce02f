package keeper

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/azurerouter/azurerouter/process/decision"
	"github.com/azurerouter/azurerouter/process/dispatch"
	"github.com/azurerouter/azurerouter/process/ledger"
	"github.com/azurerouter/azurerouter/request/batch"
)

// Dispatcher runs the tasks of durable jobs. dispatch.Core implements it.
type Dispatcher interface {
	// AdmitDurable reports whether a new job would be served in time; if not, the
	// result is the refusal.
	AdmitDurable(s batch.Submission) (dispatch.Result, bool)
	// LooksResubmitted reports whether the caller of a job seems to have submitted it
	// before.
	LooksResubmitted(s batch.Submission) bool
	// RunDurable runs the remaining tasks of a job. It calls finished at most
	// once; finished must not block.
	RunDurable(d dispatch.DurableJob, finished func(dispatch.Result))
	// DurableProgress returns the progress of a job and the number of ended runs
	// that it covers.
	DurableProgress(id batch.ID) (progress []dispatch.TaskProgress, ends int)
	// ConfirmDurableEnds notes that the log contains the progress that covers this
	// number of ended runs. SendConfirmations reports it to the agents.
	ConfirmDurableEnds(id batch.ID, ends int)
	SendConfirmations()
	// StopDurable stops the runs of a job that has been cancelled.
	StopDurable(id batch.ID)
	// ForgetDurable stops the runs of a job and removes the job. endRecorded is set if
	// the log contains the end of the job.
	ForgetDurable(id batch.ID, endRecorded bool)
	// OwnDurableUntil extends the time for which durable jobs may run. After it, their
	// runs are stopped and no more start.
	OwnDurableUntil(end time.Time)
	// StartDurableUntil extends the time for which the log is known well enough to order
	// tasks of durable jobs. After it, their runs go on but no more start.
	StartDurableUntil(end time.Time)
	// HasStarted reports whether a task of a durable job has been started by this
	// entry.
	HasStarted(id batch.ID) bool
}

// Options configure a keeper.
type Options struct {
	// Node is the instance on which the process runs.
	Node string
	// Owner is the name of this incarnation as the owner of jobs.
	Owner ledger.Owner
	// IsFirstByName reports whether the name of this entry sorts before those of
	// all entries that it is connected to.
	IsFirstByName func() bool
	// Peers returns the entries to which calls are forwarded while the log is
	// unavailable to this one.
	Peers func() []Peer
	// Now returns the time for timeouts. It includes the time during which the
	// machine is suspended and never goes back.
	Now func() time.Time
	// UnixTime returns the time of day.
	UnixTime func() time.Time
}

// Keeper manages the durable jobs of one entry. It is safe for concurrent use.
//
// No method of Dispatcher is called while unsaved.mu is held, and NoteProgress and
// noteFinished take no other lock, so a dispatcher may call them under its own.
type Keeper struct {
	options    Options
	log        Log
	dispatcher Dispatcher
	recorder   decision.Recorder
	started    time.Time
	// wake has room for one signal, which makes the writer build the next batch.
	wake chan struct{}
	// jobStates holds the dispatch.DurableJobState of each job in the log, by batch.ID.
	jobStates sync.Map
	endReads  endReads
	// readsCurrent is reads.isCurrent for callers that must not lock mu.
	readsCurrent atomic.Bool
	// snapshotRecords is the number of records read of the newest snapshot.
	snapshotRecords atomic.Uint64
	// lastPauseCheck is when notePause last ran, as Unix nanoseconds.
	lastPauseCheck atomic.Int64
	unsaved        unsavedProgress

	// mu guards the fields below, except appendLatency and counters.
	mu sync.Mutex
	// reads is what is known about the reading of the log.
	reads readState
	// self is the name under which this entry owns jobs. It changes when the
	// entry is deposed.
	self       ledger.Owner
	table      *ledger.Table
	nextOffset uint64
	// pageApplied, if set, is closed when the next page has been applied.
	pageApplied chan struct{}
	// logUnavailable is set while the log refuses appends or leaves
	// maxUnansweredAppends of them in a row unanswered.
	logUnavailable bool
	// ownedJobs maps the jobs that run here to the terms of their claims.
	ownedJobs map[batch.ID]uint64
	// endAppended is the set of jobs whose end has been appended to the log but
	// not yet read from it.
	endAppended map[batch.ID]bool
	// waiters are the callers who wait for the acceptance of a job.
	waiters map[batch.ID][]chan Outcome
	// maybeAccepted is the set of jobs whose accept record may be in the log but
	// has not been read from it. Their callers must not receive a refusal.
	maybeAccepted map[batch.ID]bool
	// endSignals holds, by job, the channel that is closed when the job ends.
	endSignals map[batch.ID]chan struct{}
	// queue holds the records that wait to be appended, the oldest first.
	queue []queuedRecord
	// lastAppend is when the last successful append under the name self was sent, the
	// first time if it was repeated.
	lastAppend time.Time
	// readBack holds the appends under the name self that have not been read yet.
	readBack readBack
	// appendLatency is a moving average of the latency of successful appends. Only
	// the writer uses it.
	appendLatency time.Duration
	// singleAppends is how many of the next appends have one part only, because the log
	// has rejected these parts together.
	singleAppends int
	// notBefore holds the earliest time at which tasks of a job taken over from
	// another owner may start.
	notBefore map[batch.ID]time.Time
	// timesDeposed is how often this process has been deposed.
	timesDeposed int
	counters     counters
}

// unsavedProgress holds the jobs whose progress has to be appended to the log. Its
// mutex is locked after all others.
type unsavedProgress struct {
	mu    sync.Mutex
	dirty map[batch.ID]bool
	// finalStates holds the final states that are not known to be in the log.
	finalStates map[batch.ID]ledger.State
}

// queuedRecord is a record that waits to be appended.
type queuedRecord struct {
	record ledger.Record
	// acceptsJob is the job that an accept record accepts; empty for other
	// records.
	acceptsJob batch.ID
	// outcome, if set, receives the outcome.
	outcome chan<- Outcome
}

// New returns a keeper, which does nothing until Run is called.
func New(options Options, log Log, dispatcher Dispatcher, recorder decision.Recorder) *Keeper {
	if options.Peers == nil {
		options.Peers = func() []Peer { return nil }
	}
	k := &Keeper{
		options: options, log: log, dispatcher: dispatcher, recorder: recorder, started: options.Now(), wake: make(chan struct{}, 1), self: options.Owner,
		table:         ledger.NewTable(),
		ownedJobs:     make(map[batch.ID]uint64),
		endAppended:   make(map[batch.ID]bool),
		maybeAccepted: make(map[batch.ID]bool),
		waiters:       make(map[batch.ID][]chan Outcome),
		endSignals:    make(map[batch.ID]chan struct{}),
		notBefore:     make(map[batch.ID]time.Time),
		unsaved:       unsavedProgress{dirty: make(map[batch.ID]bool), finalStates: make(map[batch.ID]ledger.State)},
	}
	k.lastPauseCheck.Store(k.started.UnixNano())
	return k
}

// JobState returns the state of a durable job as far as this entry has read the log, or
// DurableUncertain while it is known to lack records. A job that has just been accepted
// may be DurableUnknown here; see AfterLogRead.
func (k *Keeper) JobState(id batch.ID) dispatch.DurableJobState {
	if !k.readsCurrent.Load() || k.wasPaused(k.options.Now()) {
		return dispatch.DurableUncertain
	}
	if state, known := k.jobStates.Load(id); known {
		return state.(dispatch.DurableJobState)
	}
	return dispatch.DurableUnknown
}

// NoteProgress records that a task of a job that runs here has ended, so that its
// progress is appended to the log.
func (k *Keeper) NoteProgress(id batch.ID) {
	k.unsaved.mu.Lock()
	k.unsaved.dirty[id] = true
	k.unsaved.mu.Unlock()
	k.wakeWriter()
}

// noteFinished records the final state of a job, of which the first one reported
// counts, so that it is appended to the log.
func (k *Keeper) noteFinished(id batch.ID, state ledger.State) {
	k.unsaved.mu.Lock()
	k.unsaved.dirty[id] = true
	if k.unsaved.finalStates[id] == "" {
		k.unsaved.finalStates[id] = state
	}
	k.unsaved.mu.Unlock()
	k.wakeWriter()
}

// wakeWriter makes the writer look for records to append. It does not block.
func (k *Keeper) wakeWriter() {
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// WaitingJobs returns how many jobs of a queue have been accepted of which no task
// has begun.
func (k *Keeper) WaitingJobs(service, queue string) int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.table.Waiting(service, queue, k.self, k.dispatcher.HasStarted)
}

// OwnedJobs returns the number of jobs that run here.
func (k *Keeper) OwnedJobs() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.ownedJobs)
}

// logDecision records a decision. id is empty for decisions that concern no single
// job.
func (k *Keeper) logDecision(id batch.ID, step, outcome, reason string, version uint64, inputs ...decision.Input) {
	k.recorder.Record(decision.Decision{Step: step, Job: id, Outcome: outcome, Reason: reason, Version: version, Inputs: inputs})
}
