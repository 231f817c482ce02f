// Package ledger derives the owner and the progress of each durable job from the
// records of a shared log. Every reader of the log derives the same result. The
// package does no I/O and reads no clock.
package ledger

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/azurerouter/azurerouter/request/batch"
)

// Owner is the name under which one incarnation of an entry owns jobs.
type Owner string

// State is the recorded state of a job.
type State string

// Values of State.
const (
	// Open: the job has tasks that have not ended.
	Open State = "open"
	// Completed: every task has succeeded.
	Completed State = "completed"
	// Failed: a task has failed in each of its allowed attempts.
	Failed State = "failed"
	// Cancelled: a caller has cancelled the job.
	Cancelled State = "cancelled"
)

// AcceptedJob is the value of an accept record: the job as a caller submitted it,
// and the progress at which its owner took it over, if it did.
type AcceptedJob struct {
	Job         batch.Job     `cbor:"1,keyasint"`
	Service     string        `cbor:"2,keyasint"`
	Queue       string        `cbor:"3,keyasint"`
	Priority    int           `cbor:"4,keyasint,omitempty"`
	MaxAttempts int           `cbor:"5,keyasint"`
	Objective   time.Duration `cbor:"6,keyasint"`
	Version     uint64        `cbor:"7,keyasint"`
	// AcceptedAt is when the first owner accepted the job, in Unix milliseconds.
	AcceptedAt int64 `cbor:"8,keyasint"`
	// Progress is the progress that earlier owners had recorded.
	Progress Progress `cbor:"9,keyasint"`
}

// Progress is the value of a progress record: the state of a job and the results
// of its tasks so far.
type Progress struct {
	State State          `cbor:"1,keyasint"`
	Tasks []TaskProgress `cbor:"2,keyasint,omitempty"`
}

// TaskProgress is the progress of one task. Tasks that have neither succeeded nor
// failed in an attempt have none.
type TaskProgress struct {
	Step  int  `cbor:"1,keyasint,omitempty"`
	Index int  `cbor:"2,keyasint,omitempty"`
	Done  bool `cbor:"3,keyasint,omitempty"`
	// FailedRuns is the number of failed attempts.
	FailedRuns int `cbor:"4,keyasint,omitempty"`
	// Crashes is the number of targets that have crashed under the task.
	Crashes int `cbor:"5,keyasint,omitempty"`
	// UnconfirmedCrashes is the number of further targets that have crashed after a start
	// of the task that they did not confirm.
	UnconfirmedCrashes int `cbor:"7,keyasint,omitempty"`
	// SuspectedRuns are the numbers of the runs that were lost at further targets, which
	// may have crashed.
	SuspectedRuns []int `cbor:"8,keyasint,omitempty"`
	// CountedRuns are the numbers of the runs in Crashes and UnconfirmedCrashes. Records of
	// earlier versions lack them.
	CountedRuns []int `cbor:"9,keyasint,omitempty"`
}

// Heartbeat is the value of a record that an owner appends to show that it is
// alive.
type Heartbeat struct {
	// Node is the instance on which the owner runs.
	Node string `cbor:"1,keyasint"`
}

// Record is one record of the log. An empty value is a tombstone: it deletes the
// key.
type Record struct {
	Key   string
	Value []byte
}

// kind is the record type and the first part of its key.
type kind string

const (
	kindAccept    kind = "j"
	kindProgress  kind = "s"
	kindCancel    kind = "c"
	kindHeartbeat kind = "a"
)

func claimKey(k kind, id batch.ID, term uint64, owner Owner) string {
	return fmt.Sprintf("%s/%s/%d/%s", k, id, term, owner)
}

// AcceptRecord returns the record with which an owner claims a job for a term.
// Terms count the owners of a job from 1.
func AcceptRecord(term uint64, owner Owner, a AcceptedJob) (Record, error) {
	return encodeRecord(claimKey(kindAccept, a.Job.ID, term, owner), a)
}

// ProgressRecord returns the record that replaces the owner's earlier record of
// the progress of a job.
func ProgressRecord(id batch.ID, term uint64, owner Owner, p Progress) (Record, error) {
	return encodeRecord(claimKey(kindProgress, id, term, owner), p)
}

// CancelRecord returns the record that asks the owner of a job to cancel it.
func CancelRecord(id batch.ID) (Record, error) {
	return encodeRecord(string(kindCancel)+"/"+string(id), true)
}

// HeartbeatRecord returns the record that shows that an owner is alive.
func HeartbeatRecord(owner Owner, h Heartbeat) (Record, error) {
	return encodeRecord(string(kindHeartbeat)+"/"+string(owner), h)
}

func encodeRecord(key string, value any) (Record, error) {
	data, err := cbor.Marshal(value)
	return Record{Key: key, Value: data}, errors.Wrapf(err, "encode record %s", key)
}

// decodeAcceptedJob decodes and checks the value of an accept record. Nobody checks the
// job again before its tasks run.
func decodeAcceptedJob(id batch.ID, value []byte) (*AcceptedJob, error) {
	var a AcceptedJob
	if err := cbor.Unmarshal(value, &a); err != nil {
		return nil, err
	}
	if a.Job.ID != id {
		return nil, errors.Newf("the record has job %q", a.Job.ID)
	}
	if err := a.Job.Validate(); err != nil {
		return nil, err
	}
	return &a, a.Progress.validate()
}

func decodeProgress(value []byte) (*Progress, error) {
	var p Progress
	if err := cbor.Unmarshal(value, &p); err != nil {
		return nil, err
	}
	return &p, p.validate()
}

// validate returns an error if no owner could have recorded the progress.
func (p Progress) validate() error {
	switch p.State {
	case Open, Completed, Failed, Cancelled:
	default:
		return errors.Newf("unknown state %q", p.State)
	}
	for _, t := range p.Tasks {
		if t.Step < 0 || t.Index < 0 || t.FailedRuns < 0 || t.Crashes < 0 || t.UnconfirmedCrashes < 0 {
			return errors.Newf("step %d, index %d, %d failed runs and %d+%d crashes of a task, expected none below 0", t.Step, t.Index, t.FailedRuns, t.Crashes, t.UnconfirmedCrashes)
		}
	}
	return nil
}

// key is a decoded record key. Heartbeat records have no job, cancel records no
// owner, and both no term.
type key struct {
	kind  kind
	job   batch.ID
	term  uint64
	owner Owner
}

// ErrForeign marks errors about a record whose key has none of the formats of this
// package, so that another kind of writer must have appended it.
var ErrForeign = errors.New("record of another writer")

func parseKey(text string) (key, error) {
	parts := strings.Split(text, "/")
	switch k := kind(parts[0]); {
	case slices.Contains(parts, ""):
		// A job and an owner have names.
	case k == kindHeartbeat && len(parts) == 2:
		return key{kind: k, owner: Owner(parts[1])}, nil
	case k == kindCancel && len(parts) == 2:
		return key{kind: k, job: batch.ID(parts[1])}, nil
	case (k == kindAccept || k == kindProgress) && len(parts) == 4:
		term, err := strconv.ParseUint(parts[2], 10, 64)
		if err != nil {
			return key{}, errors.Mark(errors.Wrapf(err, "key %s", text), ErrForeign)
		}
		return key{kind: k, job: batch.ID(parts[1]), term: term, owner: Owner(parts[3])}, nil
	}
	return key{}, errors.Wrapf(ErrForeign, "key %s", text)
}
