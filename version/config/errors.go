package config

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// ErrTooLarge marks the error of an encoder whose result would exceed
// MaxRecordBytes.
var ErrTooLarge = errors.New("record too large")

// RecordError says that a record could not be decoded. Every reader skips such
// a record, and the offset of the State moves past it.
type RecordError struct {
	Offset uint64
	Reason string
}

// Error implements error.
func (e *RecordError) Error() string {
	return fmt.Sprintf("config record at offset %d: %s", e.Offset, e.Reason)
}

// OffsetError says that a record or state was offered that is not newer than
// what the State has. It had no effect.
type OffsetError struct {
	Offset uint64
	Have   uint64
}

// Error implements error.
func (e *OffsetError) Error() string {
	return fmt.Sprintf("config offset %d is not newer than %d", e.Offset, e.Have)
}

// GapError says that a record was offered out of turn, although the log still
// has the records before it. It had no effect.
type GapError struct {
	Offset uint64
	Next   uint64
}

// Error implements error.
func (e *GapError) Error() string {
	return fmt.Sprintf("config record at offset %d, but the next one to read is %d", e.Offset, e.Next)
}

// DisagreementError says that a snapshot, or the state of a peer, contradicts
// the files that the State has. It had no effect.
type DisagreementError struct {
	// Offset is the offset of the record that holds the snapshot, and 0 for the
	// state of a peer.
	Offset uint64
	// UpTo is the offset up to which the offered state was folded.
	UpTo   uint64
	Have   uint64
	File   string
	Reason string
}

// Error implements error.
func (e *DisagreementError) Error() string {
	return fmt.Sprintf("config state up to offset %d (record %d) disagrees with the state at %d: file %q %s",
		e.UpTo, e.Offset, e.Have, e.File, e.Reason)
}
