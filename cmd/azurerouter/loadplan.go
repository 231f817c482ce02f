package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/azurerouter/azurerouter/request/job"
)

// runTimeRange is a weighted range of task run times, in milliseconds.
type runTimeRange struct {
	minMS, maxMS int
	weight       float64
}

// runTimeMix is a flag of the form LOW-HIGH:WEIGHT,MS:WEIGHT. The run time of a task is
// drawn from one of the ranges, chosen by weight.
type runTimeMix []runTimeRange

// String implements flag.Value.
func (m *runTimeMix) String() string {
	parts := make([]string, 0, len(*m))
	for _, part := range *m {
		parts = append(parts, fmt.Sprintf("%d-%d:%g", part.minMS, part.maxMS, part.weight))
	}
	return strings.Join(parts, ",")
}

// Set implements flag.Value. It replaces the mix.
func (m *runTimeMix) Set(value string) error {
	var mix runTimeMix
	for _, text := range strings.Split(value, ",") {
		part, err := parseRunTimeRange(strings.TrimSpace(text))
		if err != nil {
			return err
		}
		mix = append(mix, part)
	}
	*m = mix
	return nil
}

func parseRunTimeRange(text string) (runTimeRange, error) {
	span, weight, found := strings.Cut(text, ":")
	low, high, isRange := strings.Cut(span, "-")
	if !isRange {
		high = low
	}
	part := runTimeRange{weight: 1}
	var errs [3]error
	part.minMS, errs[0] = strconv.Atoi(low)
	part.maxMS, errs[1] = strconv.Atoi(high)
	if found {
		part.weight, errs[2] = strconv.ParseFloat(weight, 64)
	}
	if errors.Join(errs[:]...) != nil || part.minMS < 1 || part.maxMS < part.minMS || !(part.weight > 0) {
		return part, errors.Newf("%q is not MS:WEIGHT or LOW-HIGH:WEIGHT with at least 1 ms", text)
	}
	return part, nil
}

// draw returns a random run time in milliseconds.
func (m runTimeMix) draw(random *rand.Rand) int {
	total := 0.0
	for _, part := range m {
		total += part.weight
	}
	remaining := random.Float64() * total
	chosen := m[len(m)-1]
	for _, part := range m {
		if remaining -= part.weight; remaining < 0 {
			chosen = part
			break
		}
	}
	return chosen.minMS + random.IntN(chosen.maxMS-chosen.minMS+1)
}

// loadSubmission is one planned submission of a run.
type loadSubmission struct {
	single   bool
	path     string
	key      string
	sleepsMS []int
	// ideal is the response time without any overhead: the run time of the longest task.
	ideal         time.Duration
	entry         int
	resubmitEntry int // index of the entry of the resubmission, or -1 without one
}

// loadPlanner draws the submissions of a run. The same settings give the same
// submissions, except for the prefix of the keys.
type loadPlanner struct {
	settings loadSettings
	random   *rand.Rand
	// count is the number of submissions drawn.
	count int
}

func newLoadPlanner(settings loadSettings) *loadPlanner {
	return &loadPlanner{settings: settings, random: rand.New(rand.NewPCG(settings.seed, 0))}
}

func (p *loadPlanner) next() loadSubmission {
	s := p.settings
	item := loadSubmission{path: "/v1/jobs", key: fmt.Sprintf("%s-%d", s.keyPrefix, p.count), resubmitEntry: -1}
	p.count++
	tasks := 1 + p.random.IntN(s.maxTasks)
	if p.random.Float64() < s.singleShare {
		item.single, item.path, tasks = true, "/v1/requests", 1
	}
	for range tasks {
		item.sleepsMS = append(item.sleepsMS, s.mix.draw(p.random))
		item.ideal = max(item.ideal, time.Duration(item.sleepsMS[len(item.sleepsMS)-1])*time.Millisecond)
	}
	item.entry = p.random.IntN(len(s.entries))
	if p.random.Float64() < s.resubmitShare && len(s.entries) > 1 {
		item.resubmitEntry = (item.entry + 1 + p.random.IntN(len(s.entries)-1)) % len(s.entries)
	}
	return item
}

// sleepInput is the task input of the target stand-in.
type sleepInput struct {
	SleepMS int `json:"sleep_ms"`
}

// body returns the JSON body of the submission, as request/job.Parse reads it.
func (item loadSubmission) body(s loadSettings, submittedAt time.Time) ([]byte, error) {
	fields := map[string]any{
		"service": s.service, "team": s.team, "key": item.key, "priority": job.Priority(s.priority),
		"submitted_at": submittedAt.UTC(), "deadline_ms": s.deadline.Milliseconds(),
	}
	inputs := make([]sleepInput, len(item.sleepsMS))
	for i, ms := range item.sleepsMS {
		inputs[i].SleepMS = ms
	}
	if item.single {
		fields["input"] = inputs[0]
	} else {
		fields["tasks"] = inputs
	}
	return json.Marshal(fields)
}
