package soak

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
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
	body       []byte
	single     bool
	idempotent bool
	tasks      int
	hash       job.KeyHash // zero for an unkeyed request until it starts
	keyed      bool
	budget     time.Duration
	calls      []*call
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
}

// oracle generates the callers' work and checks the guarantees from outside.
type oracle struct {
	world       *world
	submissions []*submission
	byHash      map[job.KeyHash]*submission
	starts      map[job.KeyHash]map[int]int
	// idempotentHashes are unkeyed requests, which may start again.
	keyed map[job.KeyHash]bool
}

func newOracle(w *world) *oracle {
	return &oracle{world: w, byHash: make(map[job.KeyHash]*submission),
		starts: make(map[job.KeyHash]map[int]int), keyed: make(map[job.KeyHash]bool)}
}

// callers submits work at random times until the end of the run.
func (w *world) callers() {
	if !w.now.Before(epoch.Add(w.options.Duration)) {
		return
	}
	s := w.oracle.newSubmission()
	w.oracle.call(s)
	for w.chance(35) {
		// A caller that believes the submission lost sends it again.
		w.after(w.duration(0, 8*time.Second), "resubmit", func() {
			if s.keyed {
				w.oracle.call(s)
			}
		})
	}
	w.after(w.duration(time.Millisecond, 120*time.Millisecond), "callers", w.callers)
}

func (o *oracle) newSubmission() *submission {
	w := o.world
	s := &submission{single: w.chance(50), budget: w.duration(300*time.Millisecond, 9*time.Second), tasks: 1}
	s.idempotent = s.single && w.chance(40)
	s.keyed = !s.idempotent
	if !s.single {
		s.tasks = 1 + w.random.IntN(12)
		if w.chance(2) {
			s.tasks = job.MaxTasks
		}
	}
	body := map[string]any{"service": serviceName, "team": "shop", "deadline_ms": s.budget.Milliseconds()}
	if s.keyed {
		key := fmt.Sprintf("key-%d", len(o.submissions))
		body["key"], body["submitted_at"] = key, w.now
		s.hash = job.HashKey("shop", serviceName, key)
		o.byHash[s.hash] = s
		o.keyed[s.hash] = true
	}
	if s.single {
		body["input"], body["idempotent"] = 1, s.idempotent
	} else {
		body["tasks"] = slices.Repeat([]int{1}, s.tasks)
	}
	if w.chance(30) {
		body["priority"] = job.Batch
	}
	s.body, _ = json.Marshal(body)
	o.submissions = append(o.submissions, s)
	return s
}

// call sends a submission to a random live entry.
func (o *oracle) call(s *submission) {
	w := o.world
	e := w.entries[w.random.IntN(len(w.entries))]
	if !e.alive || e.draining {
		return // connection refused, or left out by the balancer
	}
	c := &call{sub: s, entry: e, at: w.now}
	s.calls = append(s.calls, c)
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

func sortedKeys[V any](m map[wire.Incarnation]V) []wire.Incarnation {
	return slices.Sorted(maps.Keys(m))
}
