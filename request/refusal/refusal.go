// Package refusal defines the reasons why a submission is refused, and the error
// type that carries the reason, and the step and peer at which the refusal
// occurred.
package refusal

import (
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// Code is the reason of a refusal. The set of codes is fixed, so that callers can
// switch on it.
type Code string

// Reasons for a refusal.
const (
	// BadRequest means that the request or its body is invalid.
	BadRequest Code = "bad_request"
	// TooLarge means that the body or the input of a task exceeds its size limit.
	TooLarge Code = "too_large"
	// UnknownService means that the service is not configured or not open to the team.
	UnknownService Code = "unknown_service"
	// NotFound means that the path does not exist, or that the entry does not hold the
	// key.
	NotFound Code = "not_found"
	// KeyConflict means that the key was submitted before with another body, or that
	// the same task is waiting or running already.
	KeyConflict Code = "key_conflict"
	// KeyTooOld means that the key is too old to establish whether its submission has
	// run, or that its answer is no longer held.
	KeyTooOld Code = "key_too_old"
	// CannotRun means that no target has the capacity that one task needs.
	CannotRun Code = "cannot_run"
	// OverQuota means that the team exceeds its quota of task starts.
	OverQuota Code = "over_quota"
	// Overloaded means that too many tasks wait, that the estimated wait leaves too
	// little time, or that no target accepted the tasks.
	Overloaded Code = "overloaded"
	// NoTargets means that no target that can run the task is up.
	NoTargets Code = "no_targets"
	// LogUnavailable means that the log did not confirm the claim of the key in time.
	LogUnavailable Code = "log_unavailable"
	// Draining means that the entry is shutting down.
	Draining Code = "draining"
	// NotReady means that the entry does not accept submissions yet, or not until it
	// has restarted.
	NotReady Code = "not_ready"
	// OwnerUnreachable means that the entry that owns the key gave no usable answer.
	OwnerUnreachable Code = "owner_unreachable"
	// Deadline means that the deadline passed before the job ended, or that the
	// submission was cancelled before its key was claimed.
	Deadline Code = "deadline"
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

// Codes returns all codes in no particular order, for documentation and tests.
func Codes() []Code {
	codes := make([]Code, 0, len(statusByCode))
	for code := range statusByCode {
		codes = append(codes, code)
	}
	return codes
}

// Status returns the HTTP status for the code, and 500 for a code that is not
// defined in this package.
func (c Code) Status() int {
	if status, ok := statusByCode[c]; ok {
		return status
	}
	return http.StatusInternalServerError
}

// RunState states whether any task of the refused submission was started.
type RunState string

// Values of RunState.
const (
	// NotRun means that no task of the submission was started and that none
	// will be started for it later.
	NotRun RunState = "no"
	// RunUnknown means that tasks may have been started or may start later.
	RunUnknown RunState = "unknown"
)

// Error is a refusal. It implements error.
type Error struct {
	Code    Code
	Run     RunState
	Message string
	// Step is the processing step that refused the submission, for example
	// "claim".
	Step string
	// Peer is the process with which the step communicated; empty if none.
	Peer string
	// RetryAfter is the suggested delay before a retry; zero if a retry does not
	// help.
	RetryAfter time.Duration
}

// New returns a refusal with NotRun: no task of the submission was started.
func New(code Code, step, format string, args ...any) *Error {
	return &Error{Code: code, Run: NotRun, Step: step, Message: fmt.Sprintf(format, args...)}
}

// WithRunUnknown sets Run to RunUnknown and returns e.
func (e *Error) WithRunUnknown() *Error {
	e.Run = RunUnknown
	return e
}

// WithPeer sets the peer at which the refusal occurred and returns e.
func (e *Error) WithPeer(peer string) *Error {
	e.Peer = peer
	return e
}

// WithRetryAfter sets the suggested delay before a retry and returns e.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	e.RetryAfter = d
	return e
}

// Error returns the step, the peer if there is one, the code and the message.
func (e *Error) Error() string {
	if e.Peer == "" {
		return fmt.Sprintf("%s: %s: %s", e.Step, e.Code, e.Message)
	}
	return fmt.Sprintf("%s at %s: %s: %s", e.Step, e.Peer, e.Code, e.Message)
}

// As returns the first refusal in the chain of err, and whether there is one.
func As(err error) (*Error, bool) {
	var refused *Error
	if errors.As(err, &refused) {
		return refused, true
	}
	return nil, false
}
