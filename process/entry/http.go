package entry

import (
	"context"
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/azurerouter/azurerouter/request/job"
	"github.com/azurerouter/azurerouter/request/refusal"
)

// Paths of the HTTP API.
const (
	PathJobs     = "/v1/jobs"
	PathRequests = "/v1/requests"
	// PathHealth and PathReady are for the load balancer, which cannot reach
	// the admin address. The process is healthy if it responds at all.
	PathHealth = "/health"
	PathReady  = "/ready"
)

// API serves callers over HTTP.
type API struct {
	core *Core
	now  func() time.Time
	// countSubmission, countAnswer and countRefusal update the metrics.
	countSubmission func(single bool)
	countAnswer     func(state job.State, took time.Duration)
	countRefusal    func(code refusal.Code)
}

// ServeHTTP implements http.Handler.
func (a *API) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case PathJobs, PathRequests:
		a.serveSubmission(w, r, r.URL.Path == PathRequests)
	case PathHealth:
		w.WriteHeader(http.StatusOK)
	case PathReady:
		a.serveReady(w)
	default:
		a.refuse(w, refusal.New(refusal.NotFound, "route", "paths are %s and %s", PathJobs, PathRequests))
	}
}

// serveReady reports to the load balancer whether the entry accepts
// submissions. It counts no refusal, because nothing was submitted.
func (a *API) serveReady(w http.ResponseWriter) {
	if err := a.core.Ready(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (a *API) serveSubmission(w http.ResponseWriter, r *http.Request, single bool) {
	switch r.Method {
	case http.MethodPost:
		a.submit(w, r, single)
	case http.MethodGet:
		a.get(w, r)
	case http.MethodDelete:
		a.cancel(w, r)
	default:
		w.Header().Set("Allow", "GET, POST, DELETE")
		a.writeRefusal(w, http.StatusMethodNotAllowed,
			refusal.New(refusal.BadRequest, "route", "method %s is not supported", r.Method))
	}
}

func (a *API) submit(w http.ResponseWriter, r *http.Request, single bool) {
	a.countSubmission(single)
	startedAt := a.now()
	sub, body, refused := a.readSubmission(w, r, single, startedAt)
	if refused != nil {
		a.refuse(w, refused)
		return
	}
	defer releaseBody(r.Context(), sub, body)
	replies := make(chan Reply, 1)
	detach := a.core.Submit(sub, func(reply Reply) { replies <- reply })
	a.awaitReply(w, r.Context(), sub.Hash, replies, detach, startedAt)
}

// awaitReply writes the reply, or detaches the caller when its request is
// cancelled.
func (a *API) awaitReply(w http.ResponseWriter, ctx context.Context, hash job.KeyHash, replies <-chan Reply, detach func(), startedAt time.Time) {
	select {
	case reply := <-replies:
		if reply.Refusal != nil {
			a.refuse(w, reply.Refusal)
			return
		}
		a.countAnswer(reply.Answer.State, a.now().Sub(startedAt))
		if a.core.draining.Load() {
			// The process may end before the next request on this connection is
			// served.
			w.Header().Set("Connection", "close")
		}
		if writeJSON(w, http.StatusOK, reply.Answer) == nil {
			a.core.HandleDelivered(hash)
		}
	case <-ctx.Done():
		detach()
	}
}

func (a *API) keyFromQuery(r *http.Request) (job.KeyHash, *refusal.Error) {
	query := r.URL.Query()
	team, service, key := query.Get("team"), query.Get("service"), query.Get("key")
	if team == "" || service == "" || key == "" {
		return job.KeyHash{}, refusal.New(refusal.BadRequest, "parse", "team, service and key are required in the query")
	}
	return job.HashKey(team, service, key), nil
}

// get waits for the answer to a key that this entry holds.
func (a *API) get(w http.ResponseWriter, r *http.Request) {
	hash, refused := a.keyFromQuery(r)
	if refused != nil {
		a.refuse(w, refused)
		return
	}
	wait := job.DefaultDeadline
	if text := r.URL.Query().Get("deadline_ms"); text != "" {
		ms, err := strconv.ParseInt(text, 10, 32)
		if err != nil || ms <= 0 {
			a.refuse(w, refusal.New(refusal.BadRequest, "parse", "deadline_ms must be a positive number of milliseconds"))
			return
		}
		wait = time.Duration(ms) * time.Millisecond
	}
	replies := make(chan Reply, 1)
	detach, known := a.core.Attach(hash, a.now().Add(wait), func(reply Reply) { replies <- reply })
	if !known {
		a.refuse(w, refusal.New(refusal.NotFound, "attach", "this entry does not hold the key").WithRunUnknown())
		return
	}
	a.awaitReply(w, r.Context(), hash, replies, detach, a.now())
}

// cancel stops a job. A caller that waits for the job gets its answer.
func (a *API) cancel(w http.ResponseWriter, r *http.Request) {
	hash, refused := a.keyFromQuery(r)
	if refused != nil {
		a.refuse(w, refused)
		return
	}
	if !a.core.Cancel(hash) {
		a.refuse(w, refusal.New(refusal.NotFound, "cancel", "no job of this key is running at this entry").WithRunUnknown())
		return
	}
	w.WriteHeader(http.StatusAccepted)
}

func (a *API) refuse(w http.ResponseWriter, refused *refusal.Error) {
	a.writeRefusal(w, refused.Code.Status(), refused)
}

// refusalBody is the JSON form of a refusal.
type refusalBody struct {
	Code    refusal.Code     `json:"code"`
	Run     refusal.RunState `json:"run"`
	Message string           `json:"message"`
	Step    string           `json:"step"`
	Peer    string           `json:"peer,omitempty"`
}

func (a *API) writeRefusal(w http.ResponseWriter, status int, refused *refusal.Error) {
	a.countRefusal(refused.Code)
	if refused.RetryAfter > 0 {
		seconds := math.Ceil(refused.RetryAfter.Seconds())
		w.Header().Set("Retry-After", strconv.Itoa(int(seconds)))
	}
	if refused.Code == refusal.Draining || refused.Code == refusal.TooLarge {
		w.Header().Set("Connection", "close")
	}
	writeJSON(w, status, refusalBody{Code: refused.Code, Run: refused.Run, Message: refused.Message,
		Step: refused.Step, Peer: refused.Peer})
}

// writeJSON writes a complete body with its length, so that a caller can detect
// a truncated body.
func writeJSON(w http.ResponseWriter, status int, body any) error {
	encoded, err := json.Marshal(body)
	if err != nil {
		return err
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(encoded)))
	w.WriteHeader(status)
	_, err = w.Write(encoded)
	return err
}
