// Package ledger derives from the records of a shared log which entry owns each
// durable job and how far the job has come. Every reader of the log reaches the
// same result. It is pure.
package ledger

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/azurerouter/azurerouter/request/batch"
)

// Owner names one incarnation of an entry.
type Owner string

// State is how far a job has come.
type State string

// Values of State.
const (
	// Open: some tasks have not ended.
	Open State = "open"
	// Completed: every task is done.
	Completed State = "completed"
	// Failed: a task has used up its attempts.
	Failed State = "failed"
	// Cancelled: a caller has cancelled the job.
	Cancelled State = "cancelled"
)

// Accepted is a job as its owner took it, from a caller or from an owner that is
// gone.
type Accepted struct {
	Job         batch.Job     `cbor:"1,keyasint"`
	Service     string        `cbor:"2,keyasint"`
	Queue       string        `cbor:"3,keyasint"`
	Priority    int           `cbor:"4,keyasint,omitempty"`
	MaxAttempts int           `cbor:"5,keyasint"`
	Objective   time.Duration `cbor:"6,keyasint"`
	Version     uint64        `cbor:"7,keyasint"`
	// At is when the job was accepted first, in Unix milliseconds.
	At int64 `cbor:"8,keyasint"`
	// Progress is what an earlier owner had recorded.
	Progress Progress `cbor:"9,keyasint"`
}

// Progress is how far the tasks of a job have come.
type Progress struct {
	State State          `cbor:"1,keyasint"`
	Tasks []TaskProgress `cbor:"2,keyasint,omitempty"`
}

// TaskProgress is that of one task; tasks that have not ended are left out.
type TaskProgress struct {
	Step   int  `cbor:"1,keyasint,omitempty"`
	Index  int  `cbor:"2,keyasint,omitempty"`
	Done   bool `cbor:"3,keyasint,omitempty"`
	Failed int  `cbor:"4,keyasint,omitempty"`
}

// Alive is an owner's word that it goes on.
type Alive struct {
	// Node is the instance on which it runs.
	Node string `cbor:"1,keyasint"`
}

// Record is one record of the log; an empty value drops the key.
type Record struct {
	Key   string
	Value []byte
}

// kind is the first part of a key.
type kind string

const (
	kindAccept   kind = "j"
	kindProgress kind = "s"
	kindCancel   kind = "c"
	kindAlive    kind = "a"
)

func claimKey(k kind, id batch.ID, term uint64, owner Owner) string {
	return fmt.Sprintf("%s/%s/%d/%s", k, id, term, owner)
}

// AcceptRecord makes an owner the owner of a job for a term.
func AcceptRecord(term uint64, owner Owner, a Accepted) (Record, error) {
	return newRecord(claimKey(kindAccept, a.Job.ID, term, owner), a)
}

// ProgressRecord replaces what the owner has recorded of a job.
func ProgressRecord(id batch.ID, term uint64, owner Owner, p Progress) (Record, error) {
	return newRecord(claimKey(kindProgress, id, term, owner), p)
}

// CancelRecord asks the owner of a job to cancel it.
func CancelRecord(id batch.ID) (Record, error) {
	return newRecord(string(kindCancel)+"/"+string(id), true)
}

// AliveRecord says that an owner goes on.
func AliveRecord(owner Owner, a Alive) (Record, error) {
	return newRecord(string(kindAlive)+"/"+string(owner), a)
}

func newRecord(key string, value any) (Record, error) {
	data, err := cbor.Marshal(value)
	return Record{Key: key, Value: data}, errors.Wrapf(err, "encode record %s", key)
}

// key is a decoded key.
type key struct {
	kind  kind
	job   batch.ID
	term  uint64
	owner Owner
}

// ErrForeign marks records that another writer has left in the log.
var ErrForeign = errors.New("record of another writer")

func parseKey(text string) (key, error) {
	parts := strings.Split(text, "/")
	switch k := kind(parts[0]); {
	case k == kindAlive && len(parts) == 2:
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
