// Package refusal defines the closed list of reasons for which a submission
// is refused, and the error type that carries the reason, the step and the
// peer at which it arose.
package refusal

import (
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// Code names the reason of a refusal. The list is closed: callers may switch
// on it.
type Code string

// Reasons for a refusal.
const (
	BadRequest       Code = "bad_request"
	TooLarge         Code = "too_large"
	UnknownService   Code = "unknown_service"
	NotFound         Code = "not_found"
	KeyConflict      Code = "key_conflict"
	KeyTooOld        Code = "key_too_old"
	CannotRun        Code = "cannot_run"
	OverQuota        Code = "over_quota"
	Overloaded       Code = "overloaded"
	NoTargets        Code = "no_targets"
	LogUnavailable   Code = "log_unavailable"
	Draining         Code = "draining"
	NotReady         Code = "not_ready"
	OwnerUnreachable Code = "owner_unreachable"
	Deadline         Code = "deadline"
)

var statusByCode = map[Code]int{
	BadRequest:       http.StatusBadRequest,
	TooLarge:         http.StatusRequestEntityTooLarge,
	UnknownService:   http.StatusNotFound,
	NotFound:         http.StatusNotFound,
	KeyConflict:      http.StatusUnprocessableEntity,
	KeyTooOld:        http.StatusUnprocessableEntity,
	CannotRun:        http.StatusUnprocessableEntity,
	OverQuota:        http.StatusTooManyRequests,
	Overloaded:       http.StatusServiceUnavailable,
	NoTargets:        http.StatusServiceUnavailable,
	LogUnavailable:   http.StatusServiceUnavailable,
	Draining:         http.StatusServiceUnavailable,
	NotReady:         http.StatusServiceUnavailable,
	OwnerUnreachable: http.StatusServiceUnavailable,
	Deadline:         http.StatusGatewayTimeout,
}

// Codes returns every reason, for documentation and tests.
func Codes() []Code {
	codes := make([]Code, 0, len(statusByCode))
	for code := range statusByCode {
		codes = append(codes, code)
	}
	return codes
}

// Status returns the HTTP status code that belongs to the reason.
func (c Code) Status() int {
	if status, ok := statusByCode[c]; ok {
		return status
	}
	return http.StatusInternalServerError
}

// Run says whether any part of the refused submission was started.
type Run string

// Values of Run.
const (
	// NotRun promises that nothing of the submission was started and that
	// this submission will not start anything later.
	NotRun Run = "no"
	// RunUnknown makes no promise.
	RunUnknown Run = "unknown"
)

// Error is a refusal. It implements error.
type Error struct {
	Code    Code
	Run     Run
	Message string
	// Step is the stage at which the refusal arose, for example "claim".
	Step string
	// Peer is the process that the step was talking to; empty if none.
	Peer string
	// RetryAfter is a hint when to try again; zero if trying again is no help.
	RetryAfter time.Duration
}

// New returns a refusal of a submission of which nothing was started.
func New(code Code, step, format string, args ...any) *Error {
	return &Error{Code: code, Run: NotRun, Step: step, Message: fmt.Sprintf(format, args...)}
}

// Unknown marks the refusal as one that makes no promise about what was run.
func (e *Error) Unknown() *Error {
	e.Run = RunUnknown
	return e
}

// At names the peer at which the refusal arose.
func (e *Error) At(peer string) *Error {
	e.Peer = peer
	return e
}

// After sets the hint when to try again.
func (e *Error) After(d time.Duration) *Error {
	e.RetryAfter = d
	return e
}

// Error implements error.
func (e *Error) Error() string {
	if e.Peer == "" {
		return fmt.Sprintf("%s: %s: %s", e.Step, e.Code, e.Message)
	}
	return fmt.Sprintf("%s at %s: %s: %s", e.Step, e.Peer, e.Code, e.Message)
}

// As returns the refusal in the chain of err, if there is one.
func As(err error) (*Error, bool) {
	var refused *Error
	if errors.As(err, &refused) {
		return refused, true
	}
	return nil, false
}
