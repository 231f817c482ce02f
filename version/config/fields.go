package config

import (
	"fmt"
	"time"
)

// Field describes one setting. A setting without a Unit is a list of names, and
// has no default or range.
type Field struct {
	// Path is the dotted path, with "*" in place of the name of a service or team.
	Path string
	// Unit is the unit of Default, Min and Max.
	Unit    string
	Default int64
	Min     int64
	Max     int64
	// Doc is the description of the setting in the documentation.
	Doc string
}

// List reports whether the setting is a list of names instead of a number.
func (f Field) List() bool { return f.Unit == "" }

// Expected describes the accepted values, for use in faults.
func (f Field) Expected() string {
	if f.List() {
		return "list of names, or null"
	}
	return fmt.Sprintf("whole number from %d to %d, in %s", f.Min, f.Max, f.Unit)
}

// numberField is a Field for a number, with the function that stores its value
// in a T.
type numberField[T any] struct {
	Field
	set func(*T, int64)
}

const (
	servicePrefix = "services.*."
	teamPrefix    = "teams.*."
	limitsPrefix  = "limits."
)

func milliseconds(v int64) time.Duration { return time.Duration(v) * time.Millisecond }

var serviceFields = []numberField[Service]{
	{Field{servicePrefix + "queue_limit", "tasks", 20_000, 1, 1_000_000,
		"Tasks that one entry queues for the service; more are refused with overloaded."},
		func(s *Service, v int64) { s.QueueLimit = int(v) }},
	// Several entries can send a task to the same free slot at the same time. A
	// queue of two tasks at the target absorbs them: the share of unused messages
	// falls from 5.8 % to below 0.1 %.
	{Field{servicePrefix + "max_backlog", "tasks", 2, 0, 100,
		"Tasks that may wait at one target beyond its slots."},
		func(s *Service, v int64) { s.MaxBacklog = int(v) }},
	{Field{servicePrefix + "retry_budget_percent", "percent", 10, 1, 100,
		"Retries as a share of the recent successes of the service."},
		func(s *Service, v int64) { s.RetryBudgetPercent = int(v) }},
	{Field{servicePrefix + "batch_reserve_percent", "percent", 3, 0, 90,
		"Share of the slots that batch work leaves free for urgent work."},
		func(s *Service, v int64) { s.BatchReservePercent = int(v) }},
	{Field{servicePrefix + "batch_spread_percent", "percent", 0, 0, 95,
		"Share of the time to its deadline over which batch work is spread to keep the targets evenly busy; 0 starts it at once."},
		func(s *Service, v int64) { s.BatchSpreadPercent = int(v) }},
	// The upper bound equals the lower bound of dedupe_window_ms, because a
	// deadline must not exceed the window and different files can set the two.
	{Field{servicePrefix + "default_deadline_ms", "milliseconds", 30_000, 1, 60_000,
		"Deadline of a submission that names none."},
		func(s *Service, v int64) { s.DefaultDeadline = milliseconds(v) }},
	{Field{servicePrefix + "ejection.failure_percent", "percent", 50, 1, 100,
		"Share of failed answers from which a target is ejected."},
		func(s *Service, v int64) { s.Ejection.FailurePercent = int(v) }},
	{Field{servicePrefix + "ejection.min_answers", "answers", 5, 1, 10_000,
		"Recent answers below which a target is not judged."},
		func(s *Service, v int64) { s.Ejection.MinAnswers = int(v) }},
	{Field{servicePrefix + "ejection.max_zone_percent", "percent", 30, 1, 100,
		"Share of the targets of one availability zone that may be ejected at once."},
		func(s *Service, v int64) { s.Ejection.MaxZonePercent = int(v) }},
	// This upper bound and the lower bound of ejection.probe_max_ms are both 30 s,
	// so that the first wait never exceeds the longest one, even if different
	// files set the two.
	{Field{servicePrefix + "ejection.probe_after_ms", "milliseconds", 1_000, 10, 30_000,
		"Time from the ejection of a target to its first probe task; it doubles with each failed probe."},
		func(s *Service, v int64) { s.Ejection.ProbeAfter = milliseconds(v) }},
	{Field{servicePrefix + "ejection.probe_max_ms", "milliseconds", 30_000, 30_000, 600_000,
		"Longest time between two probe tasks to an ejected target."},
		func(s *Service, v int64) { s.Ejection.ProbeMax = milliseconds(v) }},
}

var teamFields = []numberField[Team]{
	{Field{teamPrefix + "starts_per_second", "task starts/s", 1_000, 0, 1_000_000,
		"Rate of task starts of the team, over all entries together."},
		func(t *Team, v int64) { t.StartsPerSecond = int(v) }},
	{Field{teamPrefix + "burst", "tasks", 2_000, 1, 1_000_000,
		"Task starts that the team may save up while it starts fewer than its rate."},
		func(t *Team, v int64) { t.Burst = int(v) }},
}

var limitsFields = []numberField[Limits]{
	// The retention time of the log must be at least twice the window. The upper
	// bound limits the claim table, which an entry holds in memory.
	{Field{limitsPrefix + "dedupe_window_ms", "milliseconds", 600_000, 60_000, 3_600_000,
		"Age of submitted_at up to which a submission key is accepted."},
		func(l *Limits, v int64) { l.DedupeWindow = milliseconds(v) }},
	{Field{limitsPrefix + "answer_retention_ms", "milliseconds", 120_000, 1_000, 3_600_000,
		"Time for which an entry keeps an answer after sending it."},
		func(l *Limits, v int64) { l.AnswerRetention = milliseconds(v) }},
}

var serviceTeamsField = Field{Path: servicePrefix + "teams",
	Doc: "Teams that may submit. Without the list every team may; an empty list admits none."}

// Fields returns every setting in the order of the documentation.
func Fields() []Field {
	var fields []Field
	for _, f := range serviceFields {
		fields = append(fields, f.Field)
	}
	fields = append(fields, serviceTeamsField)
	for _, f := range teamFields {
		fields = append(fields, f.Field)
	}
	for _, f := range limitsFields {
		fields = append(fields, f.Field)
	}
	return fields
}
