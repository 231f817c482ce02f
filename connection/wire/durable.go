package wire

import "github.com/azurerouter/azurerouter/request/batch"

// DurableAction is what a DurableCall asks for.
type DurableAction string

// Values of DurableAction.
const (
	// DurableSubmit: accept a job.
	DurableSubmit DurableAction = "submit"
	// DurableState: tell the state of a job.
	DurableState DurableAction = "state"
	// DurableCancel: cancel a job.
	DurableCancel DurableAction = "cancel"
)

// DurableCall asks another entry what a caller has asked of this one, because
// the log turns this one away. The other entry answers by itself and does not
// forward the call.
type DurableCall struct {
	// Number tells the calls of one connection apart.
	Number uint64        `cbor:"1,keyasint"`
	Action DurableAction `cbor:"2,keyasint"`
	ID     batch.ID      `cbor:"3,keyasint"`
	// Submission is set for DurableSubmit.
	Submission *batch.Submission `cbor:"4,keyasint,omitempty"`
}

// DurableReply answers a DurableCall.
type DurableReply struct {
	Number uint64 `cbor:"1,keyasint"`
	// Code is how the call ended; its values are those of package keeper.
	Code string `cbor:"2,keyasint"`
	// Reason and RetryAfterMS explain a refusal.
	Reason       string `cbor:"3,keyasint,omitempty"`
	RetryAfterMS int64  `cbor:"4,keyasint,omitempty"`
	// State is that of the job, Begun whether a task of it has started. They
	// answer DurableState.
	State string `cbor:"5,keyasint,omitempty"`
	Begun bool   `cbor:"6,keyasint,omitempty"`
}
