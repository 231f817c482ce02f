package wire

import "github.com/azurerouter/azurerouter/request/batch"

// JobAction is the operation that a JobCall requests.
type JobAction string

// Values of JobAction.
const (
	// SubmitDurable asks for the acceptance of a durable job.
	SubmitDurable JobAction = "submit"
	// DurableState asks for the state of a durable job.
	DurableState JobAction = "state"
	// CancelDurable asks for the cancellation of a durable job.
	CancelDurable JobAction = "cancel"
	// WithdrawJob asks for the end of a job that is not durable, because its caller has
	// submitted it again to the sender.
	WithdrawJob JobAction = "withdraw"
	// RunJob asks for the result of a job that is not durable, whose caller is connected to
	// the sender. The receiver stops it if it does not hear of the sender for SessionTTL.
	RunJob JobAction = "run"
)

// JobDeclined is the code of the reply to RunJob of an entry that does not take the job. No
// task of it has run there or will run.
const JobDeclined = "declined"

// JobCall asks another entry to carry out an operation on a job: one on a durable job
// that a caller has requested, because the log refuses requests of this entry, RunJob or
// WithdrawJob. The receiver handles the call itself and does not forward it again.
type JobCall struct {
	// Number identifies the call within its connection.
	Number uint64    `cbor:"1,keyasint"`
	Action JobAction `cbor:"2,keyasint"`
	ID     batch.ID  `cbor:"3,keyasint"`
	// Submission is set for SubmitDurable and RunJob.
	Submission *batch.Submission `cbor:"4,keyasint,omitempty"`
}

// JobReply is the reply to a JobCall.
type JobReply struct {
	Number uint64 `cbor:"1,keyasint"`
	// Code is the outcome of the call, with the values of package keeper. For
	// WithdrawJob it is the result that the job had, with the values of package
	// dispatch, or empty. For RunJob it is the result, or JobDeclined.
	Code string `cbor:"2,keyasint"`
	// Reason and RetryAfterMS, in milliseconds, are set for a refusal.
	Reason       string `cbor:"3,keyasint,omitempty"`
	RetryAfterMS int64  `cbor:"4,keyasint,omitempty"`
	// State is the state of the job, in replies to DurableState. Started is set if one
	// of its tasks has started, in these and in replies to WithdrawJob without a code.
	State   string `cbor:"5,keyasint,omitempty"`
	Started bool   `cbor:"6,keyasint,omitempty"`
	// RunsAlive is set in a reply to WithdrawJob if runs of the job may still be alive.
	RunsAlive bool `cbor:"7,keyasint,omitempty"`
	// Load is set in replies to RunJob.
	Load *EntryLoad `cbor:"8,keyasint,omitempty"`
}

// EntryLoad tells other entries whether the sender takes their submissions.
type EntryLoad struct {
	// SpareMilliCPU is the processor time that the sender does not use, in thousandths of a
	// core, or 0 if it takes no submissions.
	SpareMilliCPU int `cbor:"1,keyasint,omitempty"`
}
