package entry

import (
	"context"
	"net/http"
	"runtime"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/azurerouter/azurerouter/connection/intake"
	"github.com/azurerouter/azurerouter/request/job"
	"github.com/azurerouter/azurerouter/request/refusal"
)

// submissionBounds bounds the JSON text of a submission. The inputs of tasks, at level 2, are kept as
// text. A submission has some 20 values beside its job.MaxTasks inputs.
var submissionBounds = intake.JSONBounds{Depth: 2, Values: 2 * job.MaxTasks}

// decodeCopies is how many times the length of a body is allocated while it is decoded: the
// decoder's own buffer, which doubles until the text fits.
const decodeCopies = 2

// readSubmission reads and validates a submission, which takes a part of the budget for
// unfinished requests until the body is closed. The body is nil after a refusal.
func (a *API) readSubmission(w http.ResponseWriter, r *http.Request, single bool, now time.Time) (*job.Submission, *intake.Body, *refusal.Error) {
	body, err := intake.ReadBody(w, r, job.MaxBodyBytes)
	if err != nil {
		return nil, nil, refuseBody(err)
	}
	sub, err := a.parseSubmission(body, single, now)
	if err == nil {
		return sub, body, nil
	}
	body.Close()
	if refused, ok := refusal.As(err); ok {
		return nil, nil, refused
	}
	return nil, nil, refuseBody(err)
}

// parseSubmission validates a body. Afterwards the text and the inputs, which the job keeps, are
// charged. The error is a *refusal.Error or that of package intake.
func (a *API) parseSubmission(body *intake.Body, single bool, now time.Time) (*job.Submission, error) {
	cost, err := submissionBounds.DecodeCost(body.Data)
	if err != nil {
		return nil, err
	}
	length := int64(len(body.Data))
	if err := body.Charge(cost + decodeCopies*length); err != nil {
		return nil, err
	}
	defer body.Release(cost + (decodeCopies-1)*length)
	return job.ParseBody(body.Data, single, now, a.core.ParseLimits())
}

// releaseBody returns what a submission takes of the budget. A job with a key goes on without its
// caller and keeps its body, which is therefore charged until the submission is freed.
func releaseBody(ctx context.Context, sub *job.Submission, body *intake.Body) {
	if !sub.Keyed() || ctx.Err() == nil {
		body.Close()
		return
	}
	body.Data = nil
	runtime.AddCleanup(sub, func(body *intake.Body) { body.Close() }, body)
}

// refuseBody returns the refusal of a body that was not read or decoded.
func refuseBody(err error) *refusal.Error {
	switch {
	case errors.Is(err, intake.ErrNoRoom):
		// The key is not known, so an earlier submission of it may have run.
		return refusal.New(refusal.Overloaded, "parse", "%v", err).WithRunUnknown().WithRetryAfter(intake.RetryAfter)
	case errors.Is(err, intake.ErrTooLarge):
		return job.RefuseTooLarge()
	case errors.Is(err, intake.ErrTooComplex):
		return refusal.New(refusal.BadRequest, "parse", "%v: a job has 1 to %d tasks", err, job.MaxTasks)
	}
	return job.RefuseUnread(err)
}
