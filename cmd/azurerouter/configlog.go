package main

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/azurerouter/azurerouter/connection/logclient"
	"github.com/azurerouter/azurerouter/version/config"
)

const (
	configStream      = "config"
	maxRecordsPerRead = 500
)

// configLog is the part of the log client that publish uses.
type configLog interface {
	// Append returns an error marked logclient.ErrNotAppended if it certainly had no
	// effect. After any other error the record may have been appended.
	Append(ctx context.Context, stream string, data []byte) (offset uint64, err error)
	Read(ctx context.Context, stream string, from uint64, max int, wait time.Duration) (logclient.Page, error)
}

var (
	// errUndetermined marks the error of a publication whose outcome could not be read
	// from the log.
	errUndetermined = errors.New("outcome of the publication is undetermined")
)

// errLogIncomplete is returned if the oldest records are trimmed and no snapshot
// replaces them, so that the published files cannot be derived from the log.
var errLogIncomplete = errors.New("the log has neither the oldest config records nor a snapshot of them")

// logReader applies the config stream to a state and keeps the outcome of one
// publication.
type logReader struct {
	log           configLog
	state         *config.State
	publicationID string
	outcome       *config.Outcome
	// warn is called for each skipped record.
	warn func(error)
}

func newLogReader(log configLog, warn func(error)) *logReader {
	return &logReader{log: log, state: config.NewState(), warn: warn}
}

// readToEnd applies all records up to the end of the stream. If there are none, it
// waits up to wait for new ones.
func (r *logReader) readToEnd(ctx context.Context, wait time.Duration) error {
	for {
		page, err := r.log.Read(ctx, configStream, r.state.Next(), maxRecordsPerRead, wait)
		if err != nil {
			return errors.Wrap(err, "read the config stream")
		}
		if err := r.apply(page); err != nil {
			return err
		}
		if r.state.Next() >= page.Next {
			return r.checkComplete(page.Next)
		}
		if len(page.Records) == 0 {
			return errLogIncomplete
		}
		wait = 0
	}
}

// checkComplete returns errLogIncomplete if the state lacks records before next.
func (r *logReader) checkComplete(next uint64) error {
	if r.state.Offset()+1 < next {
		return errLogIncomplete
	}
	return nil
}

func (r *logReader) apply(page logclient.Page) error {
	for _, record := range page.Records {
		outcome, err := r.state.Apply(record.Offset, page.First, record.Data)
		results := append(r.state.DeferredResults(), config.ApplyResult{Outcome: outcome, Err: err})
		for _, result := range results {
			if err := r.handleRecordError(result.Err); err != nil {
				return err
			}
			r.noteOutcome(result.Outcome)
		}
	}
	return nil
}

// handleRecordError warns about a record that the state skipped and returns any other
// error. A snapshot that disagrees with the log must not prevent publications, because
// the state takes nothing from it.
func (r *logReader) handleRecordError(err error) error {
	var undecodable *config.RecordError
	var disagreement *config.DisagreementError
	if errors.As(err, &undecodable) || errors.As(err, &disagreement) {
		r.warn(err)
		return nil
	}
	return err
}

// noteOutcome keeps the first outcome of the publication that is not pending. Later
// records with the same ID are duplicates, which are refused once the first is accepted.
func (r *logReader) noteOutcome(outcome config.Outcome) {
	if r.publicationID != "" && outcome.ID == r.publicationID && !outcome.Pending && r.outcome == nil {
		r.outcome = &outcome
	}
}
