// Package job holds the data of one submission: its validated body, the results
// of its tasks and the single answer that is built from them.
package job

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"io"
	"time"

	"github.com/azurerouter/azurerouter/request/refusal"
)

// Limits of a submission.
const (
	// MaxTasks bounds the tasks of a job.
	MaxTasks = 400
	// MaxKeyLength bounds service, team and key, in bytes each.
	MaxKeyLength = 128
	// MaxBodyBytes bounds the body of a submission.
	MaxBodyBytes = 8 << 20
	// MaxInputBytes bounds the input of one task.
	MaxInputBytes = 256 << 10
	// MaxClockSkew is how far a client's clock may be ahead of the entry's.
	MaxClockSkew = time.Minute
	// DefaultDeadline is the time until the deadline if the body has no
	// deadline_ms.
	DefaultDeadline = 30 * time.Second
)

const stepParse = "parse"

// Priority is the priority of tasks within one service: urgent tasks come before
// batch tasks.
type Priority string

// Values of Priority.
const (
	// Urgent is the default and the higher priority.
	Urgent Priority = "urgent"
	// Batch is the lower priority.
	Batch Priority = "batch"
)

// KeyHash is a hash of team, service and submission key, which together identify
// a submission.
type KeyHash [16]byte

// String returns the hash in hexadecimal.
func (h KeyHash) String() string { return hex.EncodeToString(h[:]) }

// Digest is a hash of the parts of a body that must be equal in a resubmission.
type Digest [16]byte

// Needs is the capacity that one task requires of a target. A zero value sets no
// requirement.
type Needs struct {
	MemoryMB     int `json:"memory_mb,omitempty"`
	Accelerators int `json:"accelerators,omitempty"`
}

// Submission is a validated job or single request.
type Submission struct {
	Service     string
	Team        string
	Key         string
	Hash        KeyHash
	Digest      Digest
	SubmittedAt time.Time
	Deadline    time.Time
	Priority    Priority
	Idempotent  bool
	Needs       Needs
	Inputs      []json.RawMessage
	// Single is true for a single request, false for a job.
	Single bool
	// First is true if the caller has not sent this key before: it states so, or
	// there is no key.
	First bool
	// DefaultDeadline is true if the body has no deadline, so that the default
	// of the service applies.
	DefaultDeadline bool
	// Raw is the body as it was received.
	Raw []byte
}

// Keyed reports whether the submission has a key, which must be claimed before any
// task starts.
func (s *Submission) Keyed() bool { return s.Key != "" }

// body is the JSON form shared by jobs and single requests.
type body struct {
	Service     string    `json:"service"`
	Team        string    `json:"team"`
	Key         string    `json:"key"`
	SubmittedAt time.Time `json:"submitted_at"`
	DeadlineMS  *int64    `json:"deadline_ms"`
	Priority    Priority  `json:"priority"`
	Idempotent  bool      `json:"idempotent"`
	// Resubmission is nil if the caller does not state whether it has sent the
	// key before.
	Resubmission *bool             `json:"resubmission"`
	Needs        Needs             `json:"needs"`
	Tasks        []json.RawMessage `json:"tasks"`
	Input        json.RawMessage   `json:"input"`
}

// Limits holds the settings that bound the times in a submission.
type Limits struct {
	// DedupeWindow is how long after SubmittedAt a key is accepted.
	DedupeWindow time.Duration
}

// Parse reads and validates the body of a job, or of a single request if single
// is true. The error is a *refusal.Error.
func Parse(r io.Reader, single bool, now time.Time, limits Limits) (*Submission, error) {
	raw, err := io.ReadAll(io.LimitReader(r, MaxBodyBytes+1))
	if err != nil {
		return nil, RefuseUnread(err)
	}
	if len(raw) > MaxBodyBytes {
		return nil, RefuseTooLarge()
	}
	return ParseBody(raw, single, now, limits)
}

// RefuseUnread returns the refusal of a body that could not be read.
func RefuseUnread(err error) *refusal.Error {
	return refusal.New(refusal.BadRequest, stepParse, "body could not be read: %v", err)
}

// RefuseTooLarge returns the refusal of a body over MaxBodyBytes.
func RefuseTooLarge() *refusal.Error {
	return refusal.New(refusal.TooLarge, stepParse, "body exceeds %d bytes", MaxBodyBytes)
}

// ParseBody validates a body like Parse. The submission refers to raw.
func ParseBody(raw []byte, single bool, now time.Time, limits Limits) (*Submission, error) {
	b, err := decodeBody(raw)
	if err != nil {
		return nil, err
	}
	sub, err := b.toSubmission(single, now)
	if err != nil {
		return nil, err
	}
	if err := sub.checkTimes(now, limits); err != nil {
		return nil, err
	}
	sub.Raw = raw
	sub.Hash = HashKey(sub.Team, sub.Service, sub.Key)
	sub.Digest = sub.digest()
	return sub, nil
}

func decodeBody(raw []byte) (*body, error) {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	var b body
	if err := decoder.Decode(&b); err != nil {
		return nil, refusal.New(refusal.BadRequest, stepParse, "body is not a valid submission: %v", err)
	}
	if decoder.More() {
		return nil, refusal.New(refusal.BadRequest, stepParse, "data after the JSON object")
	}
	return &b, nil
}

func (b *body) toSubmission(single bool, now time.Time) (*Submission, error) {
	sub := &Submission{
		Service: b.Service, Team: b.Team, Key: b.Key, SubmittedAt: b.SubmittedAt.UTC(),
		Priority: b.Priority, Idempotent: b.Idempotent, Needs: b.Needs, Single: single,
		First: b.Key == "" || b.Resubmission != nil && !*b.Resubmission,
	}
	if sub.Priority == "" {
		sub.Priority = Urgent
	}
	budget := DefaultDeadline
	sub.DefaultDeadline = b.DeadlineMS == nil
	if b.DeadlineMS != nil {
		budget = time.Duration(*b.DeadlineMS) * time.Millisecond
		if *b.DeadlineMS <= 0 || budget/time.Millisecond != time.Duration(*b.DeadlineMS) {
			return nil, badRequest("deadline_ms must be a positive number of milliseconds from now")
		}
	}
	sub.Deadline = now.Add(budget)
	if err := b.setInputs(sub); err != nil {
		return nil, err
	}
	return sub, sub.checkFields()
}

func (b *body) setInputs(sub *Submission) error {
	if sub.Single {
		if b.Tasks != nil {
			return badRequest("a single request has \"input\", not \"tasks\"")
		}
		sub.Inputs = []json.RawMessage{b.Input}
	} else {
		if b.Input != nil {
			return badRequest("a job has \"tasks\", not \"input\"")
		}
		sub.Inputs = b.Tasks
	}
	if len(sub.Inputs) == 0 || len(sub.Inputs) > MaxTasks {
		return badRequest("a job has 1 to %d tasks, this one has %d", MaxTasks, len(sub.Inputs))
	}
	for i, input := range sub.Inputs {
		if len(input) == 0 {
			return badRequest("task %d has no input", i)
		}
		if len(input) > MaxInputBytes {
			return refusal.New(refusal.TooLarge, stepParse, "input of task %d exceeds %d bytes", i, MaxInputBytes)
		}
	}
	return nil
}

func (s *Submission) checkFields() error {
	switch {
	case s.Service == "":
		return badRequest("service is missing")
	case s.Team == "":
		return badRequest("team is missing")
	case len(s.Key) > MaxKeyLength || len(s.Team) > MaxKeyLength || len(s.Service) > MaxKeyLength:
		return badRequest("service, team and key have at most %d bytes each", MaxKeyLength)
	case s.Priority != Urgent && s.Priority != Batch:
		return badRequest("priority must be %q or %q", Urgent, Batch)
	case s.Idempotent && !s.Single:
		return badRequest("the tasks of a job are never started twice, so a job takes no idempotent mark")
	case s.Key == "" && !s.Idempotent:
		return badRequest("a key is required, except for a single request marked idempotent")
	case s.Needs.MemoryMB < 0 || s.Needs.Accelerators < 0:
		return badRequest("needs must not be negative")
	}
	return nil
}

func (s *Submission) checkTimes(now time.Time, limits Limits) error {
	if s.Deadline.Sub(now) > limits.DedupeWindow {
		return badRequest("deadline_ms exceeds the dedupe window of %v", limits.DedupeWindow)
	}
	if !s.Keyed() {
		return nil
	}
	switch {
	case s.SubmittedAt.IsZero():
		return badRequest("submitted_at is required with a key: the client's time of the first submission")
	case s.SubmittedAt.After(now.Add(MaxClockSkew)):
		return badRequest("submitted_at is more than %v ahead of this entry's clock", MaxClockSkew)
	case now.Sub(s.SubmittedAt) > limits.DedupeWindow:
		return refusal.New(refusal.KeyTooOld, stepParse,
			"submitted_at is older than the dedupe window of %v", limits.DedupeWindow).WithRunUnknown()
	}
	return nil
}

func badRequest(format string, args ...any) error {
	return refusal.New(refusal.BadRequest, stepParse, format, args...)
}

// HashKey returns the KeyHash of a submission. The fields are length-prefixed, so
// that different triples have different encodings.
func HashKey(team, service, key string) KeyHash {
	h := sha256.New()
	for _, field := range []string{team, service, key} {
		writeField(h, []byte(field))
	}
	return KeyHash(h.Sum(nil)[:16])
}

// digest returns the hash of the fields that must be equal in a resubmission. The
// deadline is not included, because a resubmission may have another one.
func (s *Submission) digest() Digest {
	h := sha256.New()
	fixed, _ := json.Marshal(struct {
		SubmittedAt time.Time
		Priority    Priority
		Idempotent  bool
		Needs       Needs
		Single      bool
	}{s.SubmittedAt, s.Priority, s.Idempotent, s.Needs, s.Single})
	writeField(h, fixed)
	for _, input := range s.Inputs {
		writeField(h, input)
	}
	return Digest(h.Sum(nil)[:16])
}

func writeField(w io.Writer, field []byte) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(field)))
	w.Write(length[:])
	w.Write(field)
}
