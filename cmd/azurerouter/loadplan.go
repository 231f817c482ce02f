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

// runTime is one part of a mix of task run times, in milliseconds.
type runTime struct {
	low, high int
	weight    float64
}

// runTimeMix is a flag of the form LOW-HIGH:WEIGHT,MS:WEIGHT.
type runTimeMix []runTime

// String implements flag.Value.
func (m *runTimeMix) String() string {
	parts := make([]string, 0, len(*m))
	for _, part := range *m {
		parts = append(parts, fmt.Sprintf("%d-%d:%g", part.low, part.high, part.weight))
	}
	return strings.Join(parts, ",")
}

// Set implements flag.Value. It replaces the mix.
func (m *runTimeMix) Set(value string) error {
	var mix runTimeMix
	for _, text := range strings.Split(value, ",") {
		part, err := parseRunTime(strings.TrimSpace(text))
		if err != nil {
			return err
		}
		mix = append(mix, part)
	}
	*m = mix
	return nil
}

func parseRunTime(text string) (runTime, error) {
	span, weight, found := strings.Cut(text, ":")
	low, high, isRange := strings.Cut(span, "-")
	if !isRange {
		high = low
	}
	part := runTime{weight: 1}
	var errs [3]error
	part.low, errs[0] = strconv.Atoi(low)
	part.high, errs[1] = strconv.Atoi(high)
	if found {
		part.weight, errs[2] = strconv.ParseFloat(weight, 64)
	}
	if errors.Join(errs[:]...) != nil || part.low < 1 || part.high < part.low || !(part.weight > 0) {
		return part, errors.Newf("%q is not MS:WEIGHT or LOW-HIGH:WEIGHT with at least 1 ms", text)
	}
	return part, nil
}

func (m runTimeMix) draw(random *rand.Rand) int {
	total := 0.0
	for _, part := range m {
		total += part.weight
	}
	at := random.Float64() * total
	chosen := m[len(m)-1]
	for _, part := range m {
		if at -= part.weight; at < 0 {
			chosen = part
			break
		}
	}
	return chosen.low + random.IntN(chosen.high-chosen.low+1)
}

// loadItem is one submission of a run.
type loadItem struct {
	single  bool
	path    string
	key     string
	sleeps  []int
	ideal   time.Duration
	entry   int
	another int // the entry of the resubmission, or -1
}

// loadPlanner draws the submissions of a run. The same settings give the same
// submissions, except for the run's name in the keys.
type loadPlanner struct {
	settings loadSettings
	random   *rand.Rand
	drawn    int
}

func newLoadPlanner(settings loadSettings) *loadPlanner {
	return &loadPlanner{settings: settings, random: rand.New(rand.NewPCG(settings.seed, 0))}
}

func (p *loadPlanner) next() loadItem {
	s := p.settings
	item := loadItem{path: "/v1/jobs", key: fmt.Sprintf("%s-%d", s.run, p.drawn), another: -1}
	p.drawn++
	tasks := 1 + p.random.IntN(s.maxTasks)
	if p.random.Float64() < s.singles {
		item.single, item.path, tasks = true, "/v1/requests", 1
	}
	for range tasks {
		item.sleeps = append(item.sleeps, s.mix.draw(p.random))
		item.ideal = max(item.ideal, time.Duration(item.sleeps[len(item.sleeps)-1])*time.Millisecond)
	}
	item.entry = p.random.IntN(len(s.entries))
	if p.random.Float64() < s.resubmitted && len(s.entries) > 1 {
		item.another = (item.entry + 1 + p.random.IntN(len(s.entries)-1)) % len(s.entries)
	}
	return item
}

type sleepInput struct {
	SleepMS int `json:"sleep_ms"`
}

// body returns the JSON that request/job.Parse reads.
func (item loadItem) body(s loadSettings, submittedAt time.Time) ([]byte, error) {
	fields := map[string]any{
		"service": s.service, "team": s.team, "key": item.key, "priority": job.Priority(s.priority),
		"submitted_at": submittedAt.UTC(), "deadline_ms": s.deadline.Milliseconds(),
	}
	inputs := make([]sleepInput, len(item.sleeps))
	for i, ms := range item.sleeps {
		inputs[i].SleepMS = ms
	}
	if item.single {
		fields["input"] = inputs[0]
	} else {
		fields["tasks"] = inputs
	}
	return json.Marshal(fields)
}
