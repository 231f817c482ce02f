// Package explain reconstructs the course of one job from the decision lines that
// several processes logged: its lines in order of time, the line that decided its
// outcome, and the state changes of targets, agents and entries that the
// processes recorded meanwhile. It has no side effects.
package explain

import (
	"encoding/json"
	"strconv"
	"strings"
	"time"
)

// Line is one log line of a process.
type Line struct {
	// At is the time of the line, by which the lines of all processes are sorted:
	// the Unix time of its time field, or the number of seconds that a log
	// collector wrote before the line, counted from an arbitrary moment.
	At      time.Duration
	Process string
	Step    string
	Job     string
	Run     string
	Peer    string
	Outcome string
	Reason  string
	Message string
	// Inputs holds all numeric fields of the line by name.
	Inputs map[string]int64
}

// textFields returns the destination of each text field of a log line by its name.
func (l *Line) textFields() map[string]*string {
	return map[string]*string{"process": &l.Process, "step": &l.Step, "job": &l.Job, "run": &l.Run, "peer": &l.Peer,
		"outcome": &l.Outcome, "reason": &l.Reason, "message": &l.Message}
}

// Parse reads a log line: a JSON object, optionally after a prefix written by a
// log collector. If the prefix begins with a number, it is the time in seconds
// and takes precedence over the time field. Parse reports false if the text has
// no JSON object or the object names no process.
func Parse(text string) (Line, bool) {
	start := strings.IndexByte(text, '{')
	if start < 0 {
		return Line{}, false
	}
	var fields map[string]any
	if err := json.Unmarshal([]byte(text[start:]), &fields); err != nil {
		return Line{}, false
	}
	l := Line{Inputs: make(map[string]int64)}
	for name, field := range l.textFields() {
		*field, _ = fields[name].(string)
		delete(fields, name)
	}
	for name, value := range fields {
		if number, ok := value.(float64); ok {
			l.Inputs[name] = int64(number)
		}
	}
	at, ok := fields["time"].(string)
	if timestamp, err := time.Parse(time.RFC3339Nano, at); ok && err == nil {
		l.At = time.Duration(timestamp.UnixNano())
	}
	if prefix := strings.Fields(text[:start]); len(prefix) > 0 {
		if seconds, err := strconv.ParseFloat(prefix[0], 64); err == nil {
			l.At = time.Duration(seconds * float64(time.Second))
		}
	}
	return l, l.Process != ""
}

// belongsTo reports whether a line concerns a job or one of its runs.
func (l Line) belongsTo(job string) bool {
	return l.Job == job || strings.HasPrefix(l.Run, job+".")
}
