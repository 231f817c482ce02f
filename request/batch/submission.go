package batch

import "time"

// Submission is a job handed in by a caller, with what the configuration says of
// its queue.
type Submission struct {
	Job Job `cbor:"1,keyasint"`
	// Service runs the tasks.
	Service string `cbor:"2,keyasint"`
	Queue   string `cbor:"3,keyasint"`
	// Priority orders queues; 0 comes first.
	Priority    int `cbor:"4,keyasint,omitempty"`
	MaxAttempts int `cbor:"5,keyasint"`
	// Objective is the time from the first submission in which the job is to
	// complete.
	Objective time.Duration `cbor:"6,keyasint"`
	// Patience is the time from now for which the caller waits.
	Patience time.Duration `cbor:"7,keyasint"`
	// Waited is how long the caller has waited for an earlier submission of the
	// job, or 0 if it makes the first one.
	Waited time.Duration `cbor:"8,keyasint,omitempty"`
	// Version is the configuration that decided the queue.
	Version uint64 `cbor:"9,keyasint"`
}

// TimeLeft returns the time from now in which the job is to complete. It is
// negative for a caller who comes again too late for the objective: the job then
// waits behind those that can still be in time.
func (s Submission) TimeLeft() time.Duration { return s.Objective - s.Waited }
