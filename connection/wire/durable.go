package wire

import "github.com/azurerouter/azurerouter/request/batch"

// DurableAction is the operation that a DurableCall requests.
type DurableAction string

// Values of DurableAction.
const (
	// DurableSubmit asks for the acceptance of a job.
	DurableSubmit DurableAction = "submit"
	// DurableState asks for the state of a job.
	DurableState DurableAction = "state"
	// DurableCancel asks for the cancellation of a job.
	DurableCancel DurableAction = "cancel"
)

// DurableCall forwards a caller's request for a durable job to another entry,
// because the log refuses requests of this one. The receiver handles the request
// itself and does not forward it again.
type DurableCall struct {
	// Number identifies the call within its connection.
	Number uint64        `cbor:"1,keyasint"`
	Action DurableAction `cbor:"2,keyasint"`
	ID     batch.ID      `cbor:"3,keyasint"`
	// Submission is set for DurableSubmit.
	Submission *batch.Submission `cbor:"4,keyasint,omitempty"`
}

// DurableReply is the reply to a DurableCall.
type DurableReply struct {
	Number uint64 `cbor:"1,keyasint"`
	// Code is the outcome of the call, with the values of package keeper.
	Code string `cbor:"2,keyasint"`
	// Reason and RetryAfterMS, in milliseconds, are set for a refusal.
	Reason       string `cbor:"3,keyasint,omitempty"`
	RetryAfterMS int64  `cbor:"4,keyasint,omitempty"`
	// State is the state of the job. Started is set if one of its tasks has
	// started. Both are set in replies to DurableState.
	State   string `cbor:"5,keyasint,omitempty"`
	Started bool   `cbor:"6,keyasint,omitempty"`
}
