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

// newWorkLimit is when a target that left, died or was cut off may receive no
// new work any more.
const newWorkLimit = 3 * time.Second

// replySlack is how long after its deadline a call may be answered.
const replySlack = time.Second

// submission is one piece of work as the callers see it: sent once or several
// times, through the same or other entries.
type submission struct {
	name       string
	body       []byte
	single     bool
	idempotent bool
	tasks      int
	hash       job.KeyHash // zero for an unkeyed request until it starts
	keyed      bool
	// once is set if the caller states that it sends the key for the first
	// time, and never sends it again.
	once   bool
	budget time.Duration
	calls  []*call
}

// call is one submission of it to one entry.
type call struct {
	sub     *submission
	entry   *entryNode
	at      time.Time
	replies int
	lost    bool // the entry died first
	// notRun is set if the reply promised that nothing was run.
	notRun bool
	cancel func()
	// reply describes the end of the call.
	reply string
}

// oracle generates the callers' work and checks the guarantees from outside.
type oracle struct {
	world       *world
	submissions []*submission
	starts      map[job.KeyHash]map[int]int
	// keyed holds the keys of submissions whose tasks must not start twice.
	keyed map[job.KeyHash]bool
}

func newOracle(w *world) *oracle {
	return &oracle{world: w,
		starts: make(map[job.KeyHash]map[int]int), keyed: make(map[job.KeyHash]bool)}
}

// callers submits work at random times until the end of the run.
func (w *world) callers() {
	if !w.now.Before(epoch.Add(w.options.Duration)) {
		return
	}
	s := w.oracle.newSubmission()
	w.oracle.drawCall(s)
	for !s.once && w.chance(35) {
		// A caller that believes the submission lost sends it again.
		w.after(w.duration(0, 8*time.Second), "resubmit", func() {
			if s.keyed {
				w.oracle.drawCall(s)
			}
		})
	}
	w.after(w.duration(time.Millisecond, 120*time.Millisecond), "callers", w.callers)
}

func (o *oracle) newSubmission() *submission {
	w := o.world
	s := &submission{name: fmt.Sprint("submission-", len(o.submissions)), single: w.chance(50), budget: w.duration(300*time.Millisecond, 9*time.Second), tasks: 1}
	s.idempotent = s.single && w.chance(40)
	s.keyed = !s.idempotent
	if !s.single {
		s.tasks = 1 + w.random.IntN(12)
		if w.chance(2) {
			s.tasks = job.MaxTasks
		}
	}
	body := map[string]any{"service": serviceName, "team": teamName, "deadline_ms": s.budget.Milliseconds()}
	if s.keyed {
		key := fmt.Sprintf("key-%d", len(o.submissions))
		body["key"], body["submitted_at"] = key, w.now
		o.identify(s, key)
	}
	if s.single {
		body["input"], body["idempotent"] = 1, s.idempotent
	} else {
		body["tasks"] = slices.Repeat([]int{1}, s.tasks)
	}
	if s.once = s.keyed && w.chance(30); s.once {
		body["resubmission"] = false
	}
	if w.chance(30) {
		body["priority"] = job.Batch
	}
	s.body, _ = json.Marshal(body)
	o.submissions = append(o.submissions, s)
	return s
}

func (o *oracle) identify(s *submission, key string) {
	s.hash = job.HashKey(teamName, serviceName, key)
	o.keyed[s.hash] = true
}

// perform makes the call of a trace.
func (o *oracle) perform(step Step) {
	for _, s := range o.submissions {
		if s.name == step.Name {
			o.call(s, o.world.entryNamed(step.Process))
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
		o.world.violated("trace: body of %s: %v", step.Name, err)
		return
	}
	s := &submission{name: step.Name, body: step.Body, single: step.Single, idempotent: body.Idempotent,
		keyed: body.Key != "", tasks: max(1, len(body.Tasks)), budget: time.Duration(body.DeadlineMS) * time.Millisecond}
	if s.keyed {
		o.identify(s, body.Key)
	}
	o.submissions = append(o.submissions, s)
	o.call(s, o.world.entryNamed(step.Process))
}

// cancel cancels the open calls of a submission.
func (o *oracle) cancel(name string) {
	for _, s := range o.submissions {
		for _, c := range s.calls {
			if s.name == name && c.entry.calls[c] && c.cancel != nil {
				c.entry.do(c.cancel)
			}
		}
	}
}

// drawCall sends a submission to a random entry.
func (o *oracle) drawCall(s *submission) {
	w := o.world
	e := w.entries[w.random.IntN(len(w.entries))]
	w.record(Step{Do: stepCall, Process: e.name, Name: s.name, Body: s.body, Single: s.single})
	o.call(s, e)
}

// call sends a submission to an entry.
func (o *oracle) call(s *submission, e *entryNode) {
	w := o.world
	c := &call{sub: s, entry: e, at: w.now}
	s.calls = append(s.calls, c)
	if !e.alive || e.draining {
		// Refused by the system, or left out by the balancer.
		c.lost, c.reply = true, "connection refused"
		return
	}
	w.result.Calls++
	e.calls[c] = true
	at, core := e.process, e.core
	w.after(w.duration(latencyMin, latencyMax), "call "+e.name, func() {
		at.do(func() {
			sub, err := job.Parse(bytes.NewReader(s.body), s.single, w.now, core.ParseLimits())
			if err != nil {
				refused, _ := refusal.As(err)
				o.replied(c, entry.Reply{Refusal: refused})
				return
			}
			c.cancel = func() { core.Cancel(sub.Hash) }
			core.Submit(sub, func(reply entry.Reply) {
				// The reply leaves the entry's locks before it is looked at.
				w.after(0, "reply "+at.name, func() {
					at.do(func() {
						o.replied(c, reply)
						if reply.Answer != nil {
							core.Delivered(sub.Hash)
						}
					})
				})
			})
		})
	})
}

// replied checks a reply against the call.
func (o *oracle) replied(c *call, reply entry.Reply) {
	w := o.world
	delete(c.entry.calls, c)
	c.replies++
	c.reply = describe(reply)
	if c.replies > 1 {
		w.violated("G3 call answered %d times", c.replies)
	}
	if reply.Refusal != nil {
		w.result.Answers["refused_"+string(reply.Refusal.Code)]++
		if reply.Refusal.Run == refusal.NotRun {
			c.notRun = true
			o.checkNotRun(c.sub, reply.Refusal)
		}
		return
	}
	w.result.Answers[string(reply.Answer.State)]++
	o.checkAnswer(c.sub, reply.Answer)
}

// describe gives the end of a call in a few words.
func describe(reply entry.Reply) string {
	if reply.Refusal != nil {
		return fmt.Sprintf("refused %s run=%s", reply.Refusal.Code, reply.Refusal.Run)
	}
	outcomes := make([]string, len(reply.Answer.Tasks))
	for i, task := range reply.Answer.Tasks {
		outcomes[i] = string(task.Outcome)
	}
	return fmt.Sprintf("%s [%s]", reply.Answer.State, strings.Join(outcomes, " "))
}

func (o *oracle) checkNotRun(s *submission, refused *refusal.Error) {
	if s.keyed && o.totalStarts(s.hash) > 0 {
		o.world.violated("G4 %s says not run, but %d starts of %s", refused.Code, o.totalStarts(s.hash), s.hash)
	}
}

func (o *oracle) checkAnswer(s *submission, answer *job.Answer) {
	w := o.world
	if len(answer.Tasks) != s.tasks {
		w.violated("G2 answer with %d of %d tasks", len(answer.Tasks), s.tasks)
		return
	}
	for i, task := range answer.Tasks {
		switch {
		case answer.State == job.Complete && task.Outcome != job.OK:
			w.violated("G2 complete answer with outcome %s", task.Outcome)
		case answer.State == job.JobFailed && len(task.Output) > 0:
			w.violated("G2 failed answer with an output")
		case answer.State == job.Complete && s.keyed && !bytes.Equal(task.Output, taskOutput(s.hash, i)):
			w.violated("G3 output %s for task %s/%d", task.Output, s.hash, i)
		case task.Outcome == job.NotStarted && s.keyed && o.starts[s.hash][i] > 0:
			w.violated("G4 task %s/%d reported as not started, but started", s.hash, i)
		case task.Outcome == job.OK && s.keyed && o.starts[s.hash][i] == 0:
			w.violated("G3 task %s/%d reported as ok, but never started", s.hash, i)
		}
	}
}

// started records a start at a target.
func (o *oracle) started(n *agentNode, call target.Call) {
	w := o.world
	w.result.Starts++
	byIndex := o.starts[call.Key]
	if byIndex == nil {
		byIndex = make(map[int]int)
		o.starts[call.Key] = byIndex
	}
	byIndex[call.Index]++
	if byIndex[call.Index] > 1 && o.keyed[call.Key] {
		w.violated("G1 task %s/%d started %d times", call.Key, call.Index, byIndex[call.Index])
	}
	if n.leaving {
		if n.accepted--; n.accepted < 0 {
			w.violated("G6 %s starts work %v after it left that it had not accepted before", n.name, w.now.Sub(n.leftAt))
		}
	}
	if n.cut && w.now.Sub(n.cutAt) > newWorkLimit {
		w.violated("G6 %s starts work %v after it was cut off", n.name, w.now.Sub(n.cutAt))
	}
}

func (o *oracle) totalStarts(hash job.KeyHash) int {
	total := 0
	for _, count := range o.starts[hash] {
		total += count
	}
	return total
}

// cancelWave cancels every open call at an entry.
func (o *oracle) cancelWave(e *entryNode) {
	for _, s := range o.submissions {
		for _, c := range s.calls {
			if c.entry == e && e.calls[c] && c.cancel != nil {
				e.do(c.cancel)
			}
		}
	}
}

// finish checks what holds only at the end.
func (o *oracle) finish() {
	for _, s := range o.submissions {
		o.world.result.Replies = append(o.world.result.Replies, o.resultOf(s))
	}
	for i, s := range o.submissions {
		promised, others := 0, 0
		for _, c := range s.calls {
			if c.notRun {
				promised++
			} else {
				others++
			}
			if c.replies == 0 && !c.lost && o.world.now.Sub(c.at) > s.budget+replySlack && c.entry.alive {
				o.world.violated("G3 call %d at %s was never answered", i, c.entry.name)
			}
		}
		if s.keyed && promised > 0 && others == 0 && o.totalStarts(s.hash) > 0 {
			o.world.violated("G4 every call of %s was refused as not run, but %d tasks started", s.hash, o.totalStarts(s.hash))
		}
	}
}

func (o *oracle) resultOf(s *submission) SubmissionResult {
	result := SubmissionResult{Name: s.name}
	for _, c := range s.calls {
		switch {
		case c.reply != "":
			result.Replies = append(result.Replies, c.entry.name+": "+c.reply)
		case c.lost:
			result.Replies = append(result.Replies, c.entry.name+": connection lost")
		default:
			result.Replies = append(result.Replies, c.entry.name+": no reply")
		}
	}
	for i := range s.tasks {
		result.Starts = append(result.Starts, o.starts[s.hash][i])
	}
	return result
}

func sortedKeys[V any](m map[wire.Incarnation]V) []wire.Incarnation {
	return slices.Sorted(maps.Keys(m))
}
