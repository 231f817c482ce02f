package soak

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/azurerouter/azurerouter/connection/target"
	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/process/entry"
	"github.com/azurerouter/azurerouter/request/job"
	"github.com/azurerouter/azurerouter/request/refusal"
)

// newWorkGrace is how long after its partition from the network a target may
// still receive new work.
const newWorkGrace = 3 * time.Second

// replyGrace is how long after its deadline a call may still be answered.
const replyGrace = time.Second

// submission is a single request or a job of a caller. It is sent once or several
// times, to the same entry or to different ones.
type submission struct {
	name       string
	body       []byte
	single     bool
	idempotent bool
	taskCount  int
	keyHash    job.KeyHash // zero for an unkeyed request
	keyed      bool
	// sentOnce is set if the caller states that this is not a resubmission, and
	// never sends the key again.
	sentOnce bool
	budget   time.Duration // from the submission to its deadline
	calls    []*call
}

// call is one attempt to send a submission to an entry.
type call struct {
	submission     *submission
	entry          *entryNode
	sentAt         time.Time
	replyCount     int
	connectionLost bool // the entry died or refused the connection
	// refusedNotRun is set if the reply is a refusal that states that no task
	// was run.
	refusedNotRun bool
	cancel        func()
	// outcome describes the reply or the failure; empty while the call is open.
	outcome string
}

// oracle generates the submissions and checks the guarantees against the replies
// and the task starts at targets:
//
//   - G1: a task of a keyed submission starts at most once.
//   - G2: an answer covers all tasks. It is complete with every task ok, or failed
//     without any output.
//   - G3: every call gets exactly one reply, and only with outputs of its own tasks.
//   - G4: nothing has started of a submission that is refused as not run, or of a
//     task that is reported as not started.
//   - G6: a target starts no work after it left that it had not accepted before,
//     and none later than newWorkGrace after its partition.
//   - G7: a draining entry answers every call within drainLimit.
//
// The cores assert further conditions themselves, through Env.ReportViolation.
type oracle struct {
	sim         *simulation
	submissions []*submission
	// starts counts the starts of each task, by key and task index.
	starts map[job.KeyHash]map[int]int
	// atMostOnce holds the keys of submissions whose tasks must not start twice.
	atMostOnce map[job.KeyHash]bool
}

func newOracle(sim *simulation) *oracle {
	return &oracle{sim: sim,
		starts: make(map[job.KeyHash]map[int]int), atMostOnce: make(map[job.KeyHash]bool)}
}

// submitRandomWork submits and resubmits work at random times until the end of
// the run.
func (sim *simulation) submitRandomWork() {
	if !sim.now.Before(epoch.Add(sim.options.Duration)) {
		return
	}
	s := sim.oracle.newSubmission()
	sim.oracle.sendToRandomEntry(s)
	for !s.sentOnce && sim.chance(35) {
		// The caller assumes that the submission was lost and sends it again.
		sim.after(sim.randomDuration(0, 8*time.Second), "resubmit", func() {
			if s.keyed {
				sim.oracle.sendToRandomEntry(s)
			}
		})
	}
	sim.after(sim.randomDuration(time.Millisecond, 120*time.Millisecond), "callers", sim.submitRandomWork)
}

// newSubmission returns a random submission.
func (o *oracle) newSubmission() *submission {
	sim := o.sim
	s := &submission{name: fmt.Sprint("submission-", len(o.submissions)), single: sim.chance(50), budget: sim.randomDuration(300*time.Millisecond, 9*time.Second), taskCount: 1}
	s.idempotent = s.single && sim.chance(40)
	s.keyed = !s.idempotent
	if !s.single {
		s.taskCount = 1 + sim.random.IntN(12)
		if sim.chance(2) {
			s.taskCount = job.MaxTasks
		}
	}
	body := map[string]any{"service": serviceName, "team": teamName, "deadline_ms": s.budget.Milliseconds()}
	if s.keyed {
		key := fmt.Sprintf("key-%d", len(o.submissions))
		body["key"], body["submitted_at"] = key, sim.now
		o.setKey(s, key)
	}
	if s.single {
		body["input"], body["idempotent"] = 1, s.idempotent
	} else {
		body["tasks"] = slices.Repeat([]int{1}, s.taskCount)
	}
	if s.sentOnce = s.keyed && sim.chance(30); s.sentOnce {
		body["resubmission"] = false
	}
	if sim.chance(30) {
		body["priority"] = job.Batch
	}
	s.body, _ = json.Marshal(body)
	o.submissions = append(o.submissions, s)
	return s
}

// setKey sets the key hash of a submission and forbids second starts of its tasks.
func (o *oracle) setKey(s *submission, key string) {
	s.keyHash = job.HashKey(teamName, serviceName, key)
	o.atMostOnce[s.keyHash] = true
}

// replayCall makes the call of a trace step.
func (o *oracle) replayCall(step Step) {
	for _, s := range o.submissions {
		if s.name == step.Name {
			o.send(s, o.sim.entryByName(step.Process))
			return
		}
	}
	var body struct {
		Key        string            `json:"key"`
		DeadlineMS int64             `json:"deadline_ms"`
		Idempotent bool              `json:"idempotent"`
		Tasks      []json.RawMessage `json:"tasks"`
	}
	if err := json.Unmarshal(step.Body, &body); err != nil {
		o.sim.recordViolation("trace: body of %s: %v", step.Name, err)
		return
	}
	s := &submission{name: step.Name, body: step.Body, single: step.Single, idempotent: body.Idempotent,
		keyed: body.Key != "", taskCount: max(1, len(body.Tasks)), budget: time.Duration(body.DeadlineMS) * time.Millisecond}
	if s.keyed {
		o.setKey(s, body.Key)
	}
	o.submissions = append(o.submissions, s)
	o.send(s, o.sim.entryByName(step.Process))
}

// cancelCalls cancels the open calls of a submission.
func (o *oracle) cancelCalls(name string) {
	for _, s := range o.submissions {
		for _, c := range s.calls {
			if s.name == name && c.entry.calls[c] && c.cancel != nil {
				c.entry.handle(c.cancel)
			}
		}
	}
}

// sendToRandomEntry sends a submission to a random entry and records the step.
func (o *oracle) sendToRandomEntry(s *submission) {
	sim := o.sim
	e := sim.entries[sim.random.IntN(len(sim.entries))]
	sim.recordStep(Step{Action: stepCall, Process: e.name, Name: s.name, Body: s.body, Single: s.single})
	o.send(s, e)
}

// send sends a submission to an entry.
func (o *oracle) send(s *submission, e *entryNode) {
	sim := o.sim
	c := &call{submission: s, entry: e, sentAt: sim.now}
	s.calls = append(s.calls, c)
	if !e.alive || e.draining {
		// The operating system refuses the connection to a dead process, and the
		// load balancer sends nothing to a draining one.
		c.connectionLost, c.outcome = true, "connection refused"
		return
	}
	sim.result.Calls++
	e.calls[c] = true
	proc, core := e.process, e.core
	sim.after(sim.randomDuration(latencyMin, latencyMax), "call "+e.name, func() {
		proc.handle(func() {
			sub, err := job.Parse(bytes.NewReader(s.body), s.single, sim.now, core.ParseLimits())
			if err != nil {
				refused, _ := refusal.As(err)
				o.handleReply(c, entry.Reply{Refusal: refused})
				return
			}
			c.cancel = func() { core.Cancel(sub.Hash) }
			core.Submit(sub, func(reply entry.Reply) {
				// Handled in an event of its own, because the core calls this
				// function while it holds locks.
				sim.after(0, "reply "+proc.name, func() {
					proc.handle(func() {
						o.handleReply(c, reply)
						if reply.Answer != nil {
							core.HandleDelivered(sub.Hash)
						}
					})
				})
			})
		})
	})
}

// handleReply records the reply of a call and checks it.
func (o *oracle) handleReply(c *call, reply entry.Reply) {
	sim := o.sim
	delete(c.entry.calls, c)
	c.replyCount++
	c.outcome = describeReply(reply)
	if c.replyCount > 1 {
		sim.recordViolation("G3 call answered %d times", c.replyCount)
	}
	if reply.Refusal != nil {
		sim.result.Answers["refused_"+string(reply.Refusal.Code)]++
		if reply.Refusal.Run == refusal.NotRun {
			c.refusedNotRun = true
			o.checkNotRun(c.submission, reply.Refusal)
		}
		return
	}
	sim.result.Answers[string(reply.Answer.State)]++
	o.checkAnswer(c.submission, reply.Answer)
}

// describeReply returns a reply as text for the result of the run.
func describeReply(reply entry.Reply) string {
	if reply.Refusal != nil {
		return fmt.Sprintf("refused %s run=%s", reply.Refusal.Code, reply.Refusal.Run)
	}
	outcomes := make([]string, len(reply.Answer.Tasks))
	for i, task := range reply.Answer.Tasks {
		outcomes[i] = string(task.Outcome)
	}
	return fmt.Sprintf("%s [%s]", reply.Answer.State, strings.Join(outcomes, " "))
}

// checkNotRun checks a refusal that states that no task was run.
func (o *oracle) checkNotRun(s *submission, refused *refusal.Error) {
	if s.keyed && o.totalStarts(s.keyHash) > 0 {
		o.sim.recordViolation("G4 %s says not run, but %d starts of %s", refused.Code, o.totalStarts(s.keyHash), s.keyHash)
	}
}

// checkAnswer checks an answer against the submission and its task starts.
func (o *oracle) checkAnswer(s *submission, answer *job.Answer) {
	sim := o.sim
	if len(answer.Tasks) != s.taskCount {
		sim.recordViolation("G2 answer with %d of %d tasks", len(answer.Tasks), s.taskCount)
		return
	}
	for i, task := range answer.Tasks {
		switch {
		case answer.State == job.Complete && task.Outcome != job.OK:
			sim.recordViolation("G2 complete answer with outcome %s", task.Outcome)
		case answer.State == job.JobFailed && len(task.Output) > 0:
			sim.recordViolation("G2 failed answer with an output")
		case answer.State == job.Complete && s.keyed && !bytes.Equal(task.Output, taskOutput(s.keyHash, i)):
			sim.recordViolation("G3 output %s for task %s/%d", task.Output, s.keyHash, i)
		case task.Outcome == job.NotStarted && s.keyed && o.starts[s.keyHash][i] > 0:
			sim.recordViolation("G4 task %s/%d reported as not started, but started", s.keyHash, i)
		case task.Outcome == job.OK && s.keyed && o.starts[s.keyHash][i] == 0:
			sim.recordViolation("G3 task %s/%d reported as ok, but never started", s.keyHash, i)
		}
	}
}

// recordStart records the start of a task at a target and checks that it is
// permitted.
func (o *oracle) recordStart(n *agentNode, call target.Call) {
	sim := o.sim
	sim.result.Starts++
	byIndex := o.starts[call.Key]
	if byIndex == nil {
		byIndex = make(map[int]int)
		o.starts[call.Key] = byIndex
	}
	byIndex[call.Index]++
	if byIndex[call.Index] > 1 && o.atMostOnce[call.Key] {
		sim.recordViolation("G1 task %s/%d started %d times", call.Key, call.Index, byIndex[call.Index])
	}
	if n.leaving {
		if n.remainingStarts--; n.remainingStarts < 0 {
			sim.recordViolation("G6 %s starts work %v after it left that it had not accepted before", n.name, sim.now.Sub(n.leftAt))
		}
	}
	if n.partitioned && sim.now.Sub(n.partitionedAt) > newWorkGrace {
		sim.recordViolation("G6 %s starts work %v after it was cut off", n.name, sim.now.Sub(n.partitionedAt))
	}
}

// totalStarts returns the number of task starts of a key.
func (o *oracle) totalStarts(hash job.KeyHash) int {
	total := 0
	for _, count := range o.starts[hash] {
		total += count
	}
	return total
}

// cancelCallsAt cancels every open call at an entry.
func (o *oracle) cancelCallsAt(e *entryNode) {
	for _, s := range o.submissions {
		for _, c := range s.calls {
			if c.entry == e && e.calls[c] && c.cancel != nil {
				e.handle(c.cancel)
			}
		}
	}
}

// checkAtEnd collects the results and checks the guarantees that can only be
// checked at the end of the run.
func (o *oracle) checkAtEnd() {
	for _, s := range o.submissions {
		o.sim.result.Submissions = append(o.sim.result.Submissions, o.submissionResult(s))
	}
	for i, s := range o.submissions {
		notRun, others := 0, 0
		for _, c := range s.calls {
			if c.refusedNotRun {
				notRun++
			} else {
				others++
			}
			if c.replyCount == 0 && !c.connectionLost && o.sim.now.Sub(c.sentAt) > s.budget+replyGrace && c.entry.alive {
				o.sim.recordViolation("G3 call %d at %s was never answered", i, c.entry.name)
			}
		}
		if s.keyed && notRun > 0 && others == 0 && o.totalStarts(s.keyHash) > 0 {
			o.sim.recordViolation("G4 every call of %s was refused as not run, but %d tasks started", s.keyHash, o.totalStarts(s.keyHash))
		}
	}
}

func (o *oracle) submissionResult(s *submission) SubmissionResult {
	result := SubmissionResult{Name: s.name}
	for _, c := range s.calls {
		switch {
		case c.outcome != "":
			result.Replies = append(result.Replies, c.entry.name+": "+c.outcome)
		case c.connectionLost:
			result.Replies = append(result.Replies, c.entry.name+": connection lost")
		default:
			result.Replies = append(result.Replies, c.entry.name+": no reply")
		}
	}
	for i := range s.taskCount {
		result.Starts = append(result.Starts, o.starts[s.keyHash][i])
	}
	return result
}

func sortedKeys[V any](m map[wire.Incarnation]V) []wire.Incarnation {
	return slices.Sorted(maps.Keys(m))
}
