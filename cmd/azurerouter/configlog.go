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
	// effect; any other error leaves the outcome open.
	Append(ctx context.Context, stream string, data []byte) (offset uint64, err error)
	Read(ctx context.Context, stream string, from uint64, max int, wait time.Duration) (logclient.Page, error)
}

var (
	// errUndetermined marks a publication whose verdict could not be read.
	errUndetermined = errors.New("outcome of the publication is undetermined")
)

// errLogIncomplete says that the oldest records are trimmed and that no snapshot
// replaces them, so the published files cannot be known from the log.
var errLogIncomplete = errors.New("the log has neither the oldest config records nor a snapshot of them")

// logReader folds the config stream and keeps the verdict on one publication.
type logReader struct {
	log           configLog
	state         *config.State
	publicationID string
	verdict       *config.Verdict
	// warn receives records that are passed over.
	warn func(error)
}

func newLogReader(log configLog, warn func(error)) *logReader {
	return &logReader{log: log, state: config.NewState(), warn: warn}
}

// readToEnd folds all records up to the end of the stream. If there is none to
// read it waits for one, for at most the given time.
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

func (r *logReader) checkComplete(next uint64) error {
	if r.state.Offset()+1 < next {
		return errLogIncomplete
	}
	return nil
}

func (r *logReader) apply(page logclient.Page) error {
	for _, record := range page.Records {
		verdict, err := r.state.Apply(record.Offset, page.First, record.Data)
		judgements := append(r.state.Deferred(), config.Judgement{Verdict: verdict, Err: err})
		for _, j := range judgements {
			if err := r.handleRecordError(j.Err); err != nil {
				return err
			}
			r.noteVerdict(j.Verdict)
		}
	}
	return nil
}

// handleRecordError reports records that the state has passed over, and returns any
// other error. A snapshot that is in conflict with the log must not prevent
// publications, because the state does not take anything from it.
func (r *logReader) handleRecordError(err error) error {
	var undecodable *config.RecordError
	var disagreement *config.DisagreementError
	if errors.As(err, &undecodable) || errors.As(err, &disagreement) {
		r.warn(err)
		return nil
	}
	return err
}

// noteVerdict keeps the first verdict on the publication. Later records with the same
// ID are repetitions, which are refused once the first is accepted.
func (r *logReader) noteVerdict(verdict config.Verdict) {
	if r.publicationID != "" && verdict.ID == r.publicationID && !verdict.Pending && r.verdict == nil {
		r.verdict = &verdict
	}
}
