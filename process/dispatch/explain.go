package dispatch

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/azurerouter/azurerouter/process/locality"
	"github.com/azurerouter/azurerouter/request/batch"
)

const (
	// explainedID is the ID of a job that is only explained.
	explainedID batch.ID = "explained"
	// maxExplainedSteps bounds the steps that are explained, since sessions are not renewed
	// meanwhile, and maxExplainedTargets the candidates of each of them.
	maxExplainedSteps   = 4
	maxExplainedTargets = 1000
	// maxExplainedAhead bounds the groups ahead whose placement is tried for an
	// explanation. A pass ends after fewer without room.
	maxExplainedAhead = maxUnplacedGroups + maxDelayedGroups
)

// Explanation is where the tasks of a job would go if it were submitted now, and why.
type Explanation struct {
	Service  string `json:"service"`
	Queue    string `json:"queue"`
	Priority int    `json:"priority"`
	// ObjectiveMS and DeadlineMS are the times within which the job should complete and
	// its caller leaves, in milliseconds.
	ObjectiveMS int64 `json:"objective_ms"`
	DeadlineMS  int64 `json:"deadline_ms"`
	// Rejection is set if the job would be rejected. The steps are explained all the same.
	Rejection *ExplainedRejection `json:"rejection,omitempty"`
	Ahead     ExplainedQueue      `json:"ahead"`
	Steps     []ExplainedStep     `json:"steps"`
}

// ExplainedRejection is the answer to a job that would be rejected.
type ExplainedRejection struct {
	Code         Code   `json:"code"`
	Reason       Reason `json:"reason"`
	RetryAfterMS int64  `json:"retry_after_ms"`
}

// ExplainedQueue is what would be served before the job.
type ExplainedQueue struct {
	// Steps and Tasks count the waiting steps and their tasks, AwaitLocal those of the
	// steps that wait for a target in the rack of their data.
	Steps      int `json:"steps"`
	Tasks      int `json:"tasks"`
	AwaitLocal int `json:"await_local"`
	MilliCPU   int `json:"milli_cpu"`
	// CanStart counts the steps of which tasks start with the next pass. What they take is
	// not counted in the explanation.
	CanStart int `json:"can_start"`
	// WaitMS is the expected wait of the job for them, in milliseconds.
	WaitMS int64 `json:"wait_ms"`
}

// StepOutcome is what would happen to the tasks of a step now.
type StepOutcome string

// Values of StepOutcome.
const (
	// StepPlaced: the first tasks go to the target.
	StepPlaced StepOutcome = "placed"
	// StepAwaitsLocal: the tasks wait for a target in the rack of their data.
	StepAwaitsLocal StepOutcome = "awaits_local"
	// StepWaits: no target has room for a task.
	StepWaits StepOutcome = "waits"
	// StepBehind: tasks that are served before find no room.
	StepBehind StepOutcome = "behind_others"
	// StepDepends: other steps have to end first.
	StepDepends StepOutcome = "after_other_steps"
)

// ExplainedStep explains the placement of one step.
type ExplainedStep struct {
	Step     int             `json:"step"`
	Tasks    int             `json:"tasks"`
	Demand   batch.Resources `json:"demand"`
	DataRack string          `json:"data_rack,omitempty"`
	Outcome  StepOutcome     `json:"outcome"`
	// Target is where the first tasks go, TasksThere how many of them. The rest is placed
	// after them.
	Target     string `json:"target,omitempty"`
	TasksThere int    `json:"tasks_there,omitempty"`
	// StartMS is when the first task is expected to start, in milliseconds from now, or -1
	// if that can't be foretold.
	StartMS int64 `json:"start_ms"`
	// Locality is why tasks wait or do not wait for the rack of their data, WaitMS the
	// bound of the wait.
	Locality locality.Reason `json:"locality,omitempty"`
	WaitMS   int64           `json:"wait_ms,omitempty"`
	// Candidates are the targets of the service, the best first.
	Candidates []Candidate `json:"candidates,omitempty"`
}

// Candidate is a target as a place for a task of a step.
type Candidate struct {
	Node string `json:"node"`
	Zone string `json:"zone"`
	// Rack is the label of the form of the step's rack, if it names one.
	Rack   string   `json:"rack,omitempty"`
	Labels []string `json:"labels,omitempty"`
	Local  bool     `json:"local"`
	// Excluded is why a task can't go there now, or empty. ClosedReason is why the target
	// is closed.
	Excluded     Exclusion `json:"excluded,omitempty"`
	ClosedReason string    `json:"closed_reason,omitempty"`
	// Cost is what targets are compared by; less is better.
	Cost float64         `json:"cost,omitempty"`
	Free batch.Resources `json:"free"`
	// WaitMS is when there is room for a task, in milliseconds from now, as far as the runs
	// of this entry tell, or -1 if they do not.
	WaitMS int64 `json:"wait_ms"`
	// DurationMS is the expected duration of a task there, ErrorMS its error, both in
	// milliseconds.
	DurationMS int64 `json:"duration_ms"`
	ErrorMS    int64 `json:"error_ms"`
	// Slowness is the duration of tasks relative to other targets; 1 is usual.
	Slowness float64 `json:"slowness"`
	// HeardMS is the time since the last message of the agent, in milliseconds.
	HeardMS int64 `json:"heard_ms_ago"`
}

// Explain returns where the tasks of a job would go if it were submitted now, and why. It
// decides with the code of the placement itself and draws the random numbers that the next
// placement will draw, without advancing their source. It orders, records and counts
// nothing.
func (c *Core) Explain(s batch.Submission) Explanation {
	p := c.knownPool(s.Service)
	if p == nil {
		p = newPool(s.Service, rand.NewPCG(c.seed, 0))
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	defer p.restoreRandom(p.copyRandom())
	now := c.env.Now()
	s.Job.ID = explainedID
	e := Explanation{Service: s.Service, Queue: s.Queue, Priority: s.Priority, ObjectiveMS: s.Objective.Milliseconds(), DeadlineMS: s.CallerTimeout.Milliseconds()}
	if refusal, ok := c.admit(now, p, s); !ok {
		e.Rejection = &ExplainedRejection{refusal.Code, refusal.Reason, refusal.RetryAfter.Milliseconds()}
	}
	j := newActiveJob(now, s)
	if s.Job.Durable {
		j.durableState = &durableState{}
	}
	var first *group
	for step := range j.steps {
		state := &j.steps[step]
		g := group{job: j, step: step, rank: j.rank(now.UnixNano(), state), adjustedStart: state.adjustedStart}
		if len(state.ready) > 0 && (first == nil || g.isBefore(first)) {
			first = &g
		}
	}
	if first == nil {
		return e
	}
	waits := newLocalityPass()
	var withoutRoom int
	e.Ahead, withoutRoom = c.explainAhead(now, p, *first, waits)
	e.Ahead.WaitMS = c.expectedWait(now, first.adjustedStart, p).Milliseconds()
	listed := 0
	for step := range j.steps {
		x := explainedStep(j, step)
		if state := &j.steps[step]; len(state.ready) > 0 {
			g := group{job: j, step: step, rank: j.rank(now.UnixNano(), state), adjustedStart: state.adjustedStart}
			if listed++; listed > maxExplainedSteps {
				break
			}
			c.explainStep(now, p, g, waits, withoutRoom, &x)
		}
		e.Steps = append(e.Steps, x)
	}
	return e
}

// knownPool returns the pool of a service, or nil if there is none.
func (c *Core) knownPool(service string) *pool {
	c.poolsMu.RLock()
	defer c.poolsMu.RUnlock()
	return c.pools[service]
}

// copyRandom makes the pool draw from a copy of its random source and returns the original.
func (p *pool) copyRandom() (original *rand.PCG) {
	original = p.source
	copied := *original
	p.restoreRandom(&copied)
	return original
}

func (p *pool) restoreRandom(source *rand.PCG) { p.source, p.random = source, rand.New(source) }

// explainAhead describes the groups that are served before a group, and goes through them
// as a pass does. It returns how many groups without room come last before the group.
func (c *Core) explainAhead(now time.Time, p *pool, g group, waits *localityPass) (ahead ExplainedQueue, withoutRoom int) {
	var groups []group
	mayStart := c.mayStartDurable(now)
	for _, j := range p.jobs {
		for step := range j.steps {
			state := &j.steps[step]
			other := group{job: j, step: step, rank: j.rank(now.UnixNano(), state), adjustedStart: state.adjustedStart}
			if len(state.ready) > 0 && !j.onHold(now, mayStart) && other.isBefore(&g) {
				groups = append(groups, other)
			}
		}
	}
	slices.SortFunc(groups, func(a, b group) int {
		if a.isBefore(&b) {
			return -1
		}
		return 1
	})
	for i, other := range groups {
		tasks := len(other.state().ready)
		ahead.Steps++
		ahead.Tasks += tasks
		ahead.MilliCPU += tasks * other.demand().MilliCPU
		if other.awaitsLocal(now) {
			ahead.AwaitLocal++
		}
		if i >= maxExplainedAhead {
			continue
		}
		chosen := c.choose(now, p, other, waits)
		switch {
		case chosen.tasksNow(other) == 0:
			waits.add(other, chosen)
		case chosen.target == nil:
			withoutRoom++
		default:
			withoutRoom = 0
			ahead.CanStart++
		}
	}
	return ahead, withoutRoom
}

func explainedStep(j *activeJob, step int) ExplainedStep {
	s := j.Job.Steps[step]
	return ExplainedStep{Step: step, Tasks: s.Tasks, Demand: s.Demand, DataRack: s.DataRack, Outcome: StepDepends, StartMS: -1}
}

// explainStep sets what happens to the tasks of a group that may start now. withoutRoom is the
// number of groups before it that have found no room.
func (c *Core) explainStep(now time.Time, p *pool, g group, waits *localityPass, withoutRoom int, x *ExplainedStep) {
	before := *p.source
	x.Candidates = c.candidates(now, p, g)
	p.restoreRandom(&before)
	chosen := c.choose(now, p, g, waits)
	x.Locality = chosen.delay.Reason
	for _, candidate := range x.Candidates {
		if candidate.WaitMS >= 0 && (x.StartMS < 0 || candidate.WaitMS < x.StartMS) {
			x.StartMS = candidate.WaitMS
		}
	}
	switch {
	case withoutRoom >= maxUnplacedGroups:
		x.Outcome = StepBehind
	case chosen.target == nil:
		x.Outcome = StepWaits
	case chosen.tasksNow(g) == 0:
		waits.add(g, chosen)
		x.Outcome, x.Target = StepAwaitsLocal, chosen.slots[0].target.node
		x.WaitMS, x.StartMS = chosen.delay.For.Milliseconds(), chosen.slots[0].free.Expected.Milliseconds()
	default:
		x.Outcome, x.Target, x.StartMS = StepPlaced, chosen.target.node, 0
		x.TasksThere = c.tasksThatFit(g, chosen.target, chosen.tasksNow(g))
	}
}

// candidates returns the targets of the service, the best first, then those that will have
// room.
func (c *Core) candidates(now time.Time, p *pool, g group) []Candidate {
	step := g.job.Job.Steps[g.step]
	list := make([]Candidate, 0, len(p.targetList))
	for _, t := range p.targetList {
		cost, excluded := c.consider(now, p, g, t)
		duration := c.durationAt(p, g, t)
		candidate := Candidate{Node: t.node, Zone: t.zone, Rack: labelLike(t.state.Labels, step.DataRack), Labels: slices.Clone(t.state.Labels), Local: t.isLocal(step),
			Excluded: excluded, Cost: cost, Free: t.expectedFree(), WaitMS: -1, DurationMS: duration.Expected.Milliseconds(), ErrorMS: duration.Error.Milliseconds(),
			Slowness: p.speeds.Slowness(now, t.speed), HeardMS: now.Sub(t.lastReceived).Milliseconds()}
		switch excluded {
		case "":
			candidate.WaitMS = 0
		case ExcludedFull:
			if free, known := c.freeAfter(now, p, t, g.demand()); known {
				candidate.WaitMS = free.Expected.Milliseconds()
			}
		case ExcludedClosed:
			candidate.ClosedReason = string(t.state.Closed)
		}
		list = append(list, candidate)
	}
	slices.SortFunc(list, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(a.order(), b.order()), cmp.Compare(a.Cost, b.Cost), cmp.Compare(a.WaitMS, b.WaitMS), strings.Compare(a.Node, b.Node))
	})
	return list[:min(len(list), maxExplainedTargets)]
}

// order returns 0 for a target with room, 1 for one that will have room, otherwise 2.
func (x *Candidate) order() int {
	switch {
	case x.Excluded == "":
		return 0
	case x.WaitMS >= 0:
		return 1
	}
	return 2
}

// labelLike returns the label that has the form of a name, which differs from it at most in
// its digits, or an empty string.
func labelLike(labels []string, name string) string {
	for _, label := range labels {
		if name != "" && form(label) == form(name) {
			return label
		}
	}
	return ""
}

// form returns the name with each number in it replaced by a zero.
func form(name string) string {
	var b strings.Builder
	digits := false
	for _, r := range name {
		digit := r >= '0' && r <= '9'
		if !digit {
			b.WriteRune(r)
		} else if !digits {
			b.WriteByte('0')
		}
		digits = digit
	}
	return b.String()
}
