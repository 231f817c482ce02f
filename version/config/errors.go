package config

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// ErrTooLarge marks the errors of EncodeChange and EncodeSnapshot for a file that
// exceeds MaxFileBytes or a record that exceeds MaxRecordBytes.
var ErrTooLarge = errors.New("record too large")

// RecordError reports a record that cannot be decoded, or an invalid state of a
// peer. Every reader skips such a record, and the offset of its State advances past
// it. Such a state of a peer has no effect.
type RecordError struct {
	// Offset is the offset of the record, or of the state of a peer.
	Offset uint64
	Reason string
}

// Error implements error.
func (e *RecordError) Error() string {
	return fmt.Sprintf("config record at offset %d: %s", e.Offset, e.Reason)
}

// OffsetError reports a record that was read before, or a state of a peer that is
// not newer than the current one. The record or state had no effect.
type OffsetError struct {
	// Offset is the offset of the record, or of the state of a peer.
	Offset uint64
	// Current is the offset of the last record read, or of the current state.
	Current uint64
}

// Error implements error.
func (e *OffsetError) Error() string {
	return fmt.Sprintf("config offset %d is not newer than %d", e.Offset, e.Current)
}

// GapError reports a record that was passed to State.Apply too early, while the
// log still retains records before it. The record had no effect.
type GapError struct {
	Offset uint64
	// Next is the offset of the record that State.Apply expects.
	Next uint64
}

// Error implements error.
func (e *GapError) Error() string {
	return fmt.Sprintf("config record at offset %d, but the next one to read is %d", e.Offset, e.Next)
}

// DisagreementError reports a snapshot, or the state of a peer, that is
// inconsistent with the files of the State: no log leads to both. Its files were
// not applied.
type DisagreementError struct {
	// Offset is the offset of the snapshot record, and 0 for the state of a peer.
	Offset uint64
	// UpTo is the offset of the last record that the snapshot or the state of the
	// peer covers.
	UpTo uint64
	// Current is the offset of the State.
	Current uint64
	// File is the name of an inconsistent file.
	File   string
	Reason string
}

// Error implements error.
func (e *DisagreementError) Error() string {
	return fmt.Sprintf("config state up to offset %d (record %d) disagrees with the state at %d: file %q %s",
		e.UpTo, e.Offset, e.Current, e.File, e.Reason)
}
