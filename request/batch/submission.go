package batch

import "time"

// Submission is a job submitted by a caller, with the settings of its queue.
type Submission struct {
	Job Job `cbor:"1,keyasint"`
	// Service is the name of the service that runs the tasks.
	Service string `cbor:"2,keyasint"`
	Queue   string `cbor:"3,keyasint"`
	// Priority is the priority of the queue; 0 is the highest.
	Priority    int `cbor:"4,keyasint,omitempty"`
	MaxAttempts int `cbor:"5,keyasint"`
	// Objective is the time after the first submission within which the job
	// should complete.
	Objective time.Duration `cbor:"6,keyasint"`
	// CallerTimeout is the time from now for which the caller waits for an answer.
	CallerTimeout time.Duration `cbor:"7,keyasint"`
	// PriorWait is how long the caller has already waited for an earlier submission
	// of the job; 0 if this is the first one.
	PriorWait time.Duration `cbor:"8,keyasint,omitempty"`
	// Version is the version of the routing configuration that selected the
	// queue.
	Version uint64 `cbor:"9,keyasint"`
	// CallerWaits, if set, reports whether the connection of the caller is open. It is not
	// sent to other processes.
	CallerWaits func() bool `cbor:"-" json:"-"`
}

// TimeLeft returns the time from now within which the job should complete. It is
// negative if the caller resubmits the job after its objective has passed; the
// job then waits behind those that can still meet theirs.
func (s Submission) TimeLeft() time.Duration { return s.Objective - s.PriorWait }
