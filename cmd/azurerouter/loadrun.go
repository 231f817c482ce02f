package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/azurerouter/azurerouter/request/job"
)

const (
	// answerGrace is how long the load generator waits for an answer after the deadline of
	// the submission.
	answerGrace = 5 * time.Second
	// maxAnswerBytes has room for the largest answer: the outputs of 400 tasks.
	maxAnswerBytes = 128 << 20
)

// loadRunner submits the load of one run.
type loadRunner struct {
	settings loadSettings
	client   *http.Client
	report   *loadReport
}

func newLoadRunner(s loadSettings) *loadRunner {
	transport := &http.Transport{MaxIdleConnsPerHost: s.clients}
	return &loadRunner{settings: s, report: newLoadReport(),
		client: &http.Client{Transport: transport, Timeout: s.deadline + answerGrace}}
}

// run returns after every submission has been answered or has timed out.
func (r *loadRunner) run() *loadReport {
	defer r.client.CloseIdleConnections()
	started := time.Now()
	if r.settings.rate > 0 {
		r.openLoop(started)
	} else {
		r.closedLoop(started)
	}
	r.report.duration = time.Since(started)
	return r.report
}

// closedLoop runs a fixed number of clients. Each submits again when its previous
// submission has been answered.
func (r *loadRunner) closedLoop(started time.Time) {
	var mu sync.Mutex
	planner := newLoadPlanner(r.settings)
	next := func() (loadSubmission, bool) {
		mu.Lock()
		defer mu.Unlock()
		if planner.count == r.settings.count || time.Since(started) >= r.settings.duration {
			return loadSubmission{}, false
		}
		return planner.next(), true
	}
	var clients sync.WaitGroup
	for range r.settings.clients {
		clients.Go(func() {
			for item, more := next(); more; item, more = next() {
				r.submit(item, time.Now())
			}
		})
	}
	clients.Wait()
}

// openLoop submits at a fixed rate, independent of the answers. Response times count
// from the scheduled time, so that a generator that falls behind does not hide a slow
// dispatcher.
func (r *loadRunner) openLoop(started time.Time) {
	planner := newLoadPlanner(r.settings)
	permits := make(chan struct{}, r.settings.clients)
	var inFlight sync.WaitGroup
	defer inFlight.Wait()
	for i := range r.settings.count {
		offset := time.Duration(float64(i) / r.settings.rate * float64(time.Second))
		if offset >= r.settings.duration {
			return
		}
		due := started.Add(offset)
		time.Sleep(time.Until(due))
		item := planner.next()
		select {
		case permits <- struct{}{}:
		default:
			r.report.addNotSent()
			continue
		}
		inFlight.Go(func() {
			defer func() { <-permits }()
			r.submit(item, due)
		})
	}
}

// submit sends a submission, resubmits it through another entry if that is planned, and
// compares the two answers.
func (r *loadRunner) submit(item loadSubmission, due time.Time) {
	body, err := item.body(r.settings, time.Now())
	if err != nil {
		r.report.addUnanswered(err)
		return
	}
	var second *job.Answer
	var resubmission sync.WaitGroup
	if item.resubmitEntry >= 0 {
		resubmission.Go(func() {
			time.Sleep(r.settings.resubmissionDelay)
			second = r.send(item, item.resubmitEntry, body, time.Time{})
		})
	}
	first := r.send(item, item.entry, body, due)
	resubmission.Wait()
	if first != nil && second != nil {
		r.report.compare(first, second)
	}
}

// send returns the answer, or nil if there is none. Resubmissions have a zero due, for
// which no response time is recorded.
func (r *loadRunner) send(item loadSubmission, entry int, body []byte, due time.Time) *job.Answer {
	r.report.addSent(due.IsZero())
	status, data, err := r.post("http://"+r.settings.entries[entry]+item.path, body)
	if err != nil {
		r.report.addUnanswered(err)
		return nil
	}
	if status != http.StatusOK {
		r.report.addRefusal(status, data)
		return nil
	}
	var answer job.Answer
	if err := json.Unmarshal(data, &answer); err != nil {
		r.report.addWrong("answer is not JSON: " + err.Error())
		return nil
	}
	if fault := checkAnswer(&answer, item); fault != "" {
		r.report.addWrong(fault)
		return nil
	}
	r.report.addAnswer(&answer, item, due)
	return &answer
}

func (r *loadRunner) post(url string, body []byte) (int, []byte, error) {
	response, err := r.client.Post(url, "application/json", bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1))
	if len(data) > maxAnswerBytes {
		err = errors.Newf("answer exceeds %d bytes", maxAnswerBytes)
	}
	return response.StatusCode, data, err
}

// checkAnswer checks two guarantees of the dispatcher: an answer belongs to the
// caller's submission (G3) and is never partial (G2). It returns the violation, or an
// empty string.
func checkAnswer(answer *job.Answer, item loadSubmission) string {
	if answer.Key != item.key {
		return "answer to another key"
	}
	if len(answer.Tasks) != len(item.sleepsMS) {
		return "answer with another number of tasks"
	}
	failed := false
	for _, task := range answer.Tasks {
		if task.Outcome == "" || (answer.State == job.JobFailed && task.Output != nil) {
			return "partial answer"
		}
		failed = failed || task.Outcome != job.OK
	}
	if failed != (answer.State == job.JobFailed) || (!failed && answer.State != job.Complete) {
		return "state does not match the tasks"
	}
	return ""
}
