package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"reflect"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"

	"github.com/azurerouter/azurerouter/process/observe"
	"github.com/azurerouter/azurerouter/request/job"
)

const (
	// ratioScale is the number of histogram steps per unit of the ratio of response time
	// to ideal.
	ratioScale = 1000
	// maxRatio and maxExcess bound the histograms; larger values are recorded as these.
	maxRatio  = 100_000
	maxExcess = time.Hour
	// maxMetricsAge is the maximum age of a scraped value, with a margin.
	maxMetricsAge   = 1500 * time.Millisecond
	maxMetricsBytes = 4 << 20
)

// loadReport collects the results of a run. Its methods are safe for concurrent use
// until print.
type loadReport struct {
	duration time.Duration

	mu                              sync.Mutex
	sent, resubmitted, notSent      int
	complete, failed                int
	tasksAnswered                   int
	comparedAnswers, differentState int
	// Counts by code, task outcome, error and fault.
	refusals, outcomes       map[string]int
	unanswered, wrongAnswers map[string]int
	ratio, excess            *hdrhistogram.Histogram
}

func newLoadReport() *loadReport {
	return &loadReport{
		refusals: map[string]int{}, outcomes: map[string]int{}, unanswered: map[string]int{}, wrongAnswers: map[string]int{},
		ratio:  hdrhistogram.New(1, maxRatio*ratioScale, 3),
		excess: hdrhistogram.New(1, maxExcess.Microseconds(), 3),
	}
}

func (r *loadReport) withLock(change func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change()
}

func (r *loadReport) addNotSent() { r.withLock(func() { r.notSent++ }) }

func (r *loadReport) addWrong(fault string) { r.withLock(func() { r.wrongAnswers[fault]++ }) }

func (r *loadReport) addUnanswered(err error) {
	r.withLock(func() { r.unanswered[oneLine(errors.UnwrapAll(err).Error())]++ })
}

func (r *loadReport) addSent(resubmission bool) {
	r.withLock(func() {
		if resubmission {
			r.resubmitted++
		} else {
			r.sent++
		}
	})
}

// refusalBody is the JSON body of a refusal.
type refusalBody struct{ Code, Run string }

func (r *loadReport) addRefusal(status int, data []byte) {
	var body refusalBody
	name := fmt.Sprintf("status %d without a code", status)
	if json.Unmarshal(data, &body) == nil && body.Code != "" {
		name = fmt.Sprintf("%s run=%s", oneLine(body.Code), oneLine(body.Run))
	}
	r.withLock(func() { r.refusals[name]++ })
}

// addAnswer counts the answer to a submission. It ignores resubmissions, which have a
// zero due. Only complete answers have a response time, since failed ones can be fast.
func (r *loadReport) addAnswer(answer *job.Answer, item loadSubmission, due time.Time) {
	if due.IsZero() {
		return
	}
	took := time.Since(due)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tasksAnswered += len(answer.Tasks)
	for _, task := range answer.Tasks {
		r.outcomes[string(task.Outcome)]++
	}
	if answer.State != job.Complete {
		r.failed++
		return
	}
	r.complete++
	r.ratio.RecordValue(min(int64(float64(took)/float64(item.ideal)*ratioScale), maxRatio*ratioScale))
	r.excess.RecordValue(min(max(took-item.ideal, 0), maxExcess).Microseconds())
}

// compare checks that two complete answers to the same key are equal. The target
// stand-in returns a different output for every start, so a task that was started twice
// shows up here. A different state is no fault: an entry that recovers a job fails the
// tasks whose outcome no agent reports.
func (r *loadReport) compare(first, second *job.Answer) {
	r.withLock(func() {
		r.comparedAnswers++
		switch {
		case first.State != second.State:
			r.differentState++
		case first.State == job.Complete && !reflect.DeepEqual(first, second):
			r.wrongAnswers["resubmission with another answer"]++
		}
	})
}

func (r *loadReport) answeredTotal() int { return r.complete + r.failed }

func (r *loadReport) wrongTotal() int {
	total := 0
	for _, n := range r.wrongAnswers {
		total += n
	}
	return total
}

func (r *loadReport) print(w io.Writer) {
	seconds := r.duration.Seconds()
	fmt.Fprintf(w, "submitted %d in %.1fs, not sent for lack of clients %d\n", r.sent, seconds, r.notSent)
	fmt.Fprintf(w, "answered %d (%.1f/s): complete %d, failed %d, tasks %d (%.1f/s)\n", r.answeredTotal(),
		float64(r.answeredTotal())/seconds, r.complete, r.failed, r.tasksAnswered, float64(r.tasksAnswered)/seconds)
	fmt.Fprintf(w, "resubmitted %d, answers compared %d, with different states %d\n", r.resubmitted, r.comparedAnswers, r.differentState)
	fmt.Fprintf(w, "response time over ideal: p50 %s p95 %s p99 %s (complete answers, ideal is the longest task)\n",
		r.ratioAt(50), r.ratioAt(95), r.ratioAt(99))
	fmt.Fprintf(w, "response time minus ideal: p50 %s p95 %s p99 %s\n", r.excessAt(50), r.excessAt(95), r.excessAt(99))
	printCounts(w, "task outcome", r.outcomes)
	printCounts(w, "refused", r.refusals)
	printCounts(w, "no answer", r.unanswered)
	printCounts(w, "WRONG", r.wrongAnswers)
}

func (r *loadReport) ratioAt(percentile float64) string {
	return fmt.Sprintf("%.3f", float64(r.ratio.ValueAtPercentile(percentile))/ratioScale)
}

func (r *loadReport) excessAt(percentile float64) string {
	return fmt.Sprintf("%.1fms", float64(r.excess.ValueAtPercentile(percentile))/1000)
}

func printCounts(w io.Writer, title string, counts map[string]int) {
	names := make([]string, 0, len(counts))
	for name := range counts {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		fmt.Fprintf(w, "%s: %s %d\n", title, name, counts[name])
	}
}

// messageCounts are the numbers of messages sent, by kind.
type messageCounts map[string]float64

// readMessageCounts returns the sums over the processes at the admin addresses.
func readMessageCounts(ctx context.Context, admins []string) (messageCounts, error) {
	total := make(messageCounts)
	for _, addr := range admins {
		data, err := readAdmin(ctx, addr, "/metrics", maxMetricsBytes)
		if err != nil {
			return nil, err
		}
		if err := total.add(data); err != nil {
			return nil, errors.Wrapf(err, "metrics of %s", addr)
		}
	}
	return total, nil
}

// add adds the values of one metric in the Prometheus text format.
func (c messageCounts) add(metrics []byte) error {
	prefix := observe.Prefix + "_" + observe.MessagesSent + "{" + observe.TagKind + "=\""
	lines := bufio.NewScanner(bytes.NewReader(metrics))
	for lines.Scan() {
		rest, found := strings.CutPrefix(lines.Text(), prefix)
		if !found {
			continue
		}
		kind, value, _ := strings.Cut(rest, "\"} ")
		n, err := strconv.ParseFloat(value, 64)
		if err != nil {
			return err
		}
		c[kind] += n
	}
	return lines.Err()
}

// printMessagesPerTask prints the messages that the processes have sent per answered
// task since the counts before. Each message has one sender, so none is counted twice
// if all processes are named.
func printMessagesPerTask(ctx context.Context, w io.Writer, admins []string, before messageCounts, tasks int) error {
	if len(admins) == 0 || tasks == 0 {
		return nil
	}
	time.Sleep(maxMetricsAge)
	after, err := readMessageCounts(ctx, admins)
	if err != nil {
		return err
	}
	total, parts := 0.0, []string(nil)
	for kind, n := range after {
		n -= before[kind]
		total += n
		parts = append(parts, fmt.Sprintf("%s %.3f", kind, n/float64(tasks)))
	}
	sort.Strings(parts)
	_, err = fmt.Fprintf(w, "messages per task %.3f: %s\n", total/float64(tasks), strings.Join(parts, ", "))
	return err
}
