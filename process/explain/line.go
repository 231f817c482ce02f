// Package explain reads the decision lines of several processes and tells the
// story of one request: its lines in order, the one that decided its end, and
// what the processes came to believe meanwhile. It is pure.
package explain

import (
	"encoding/json"
	"strconv"
	"strings"
	"time"
)

// Line is one line of a process's log.
type Line struct {
	// At orders the lines of all processes: the time of day, or the time that a
	// collector has written before the line, counted from any moment.
	At      time.Duration
	Process string
	Step    string
	Job     string
	Run     string
	Peer    string
	Outcome string
	Reason  string
	Message string
	// Inputs are the other numbers of the line by name.
	Inputs map[string]int64
}

// textFields are the fields of a line that Line holds as text.
func (l *Line) textFields() map[string]*string {
	return map[string]*string{"process": &l.Process, "step": &l.Step, "job": &l.Job, "run": &l.Run, "peer": &l.Peer,
		"outcome": &l.Outcome, "reason": &l.Reason, "message": &l.Message}
}

// Parse reads a line. What stands before the JSON object may begin with the time
// in seconds. It reports false for a line that is no log line.
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
	for name, to := range l.textFields() {
		*to, _ = fields[name].(string)
		delete(fields, name)
	}
	for name, value := range fields {
		if number, ok := value.(float64); ok {
			l.Inputs[name] = int64(number)
		}
	}
	at, ok := fields["time"].(string)
	if when, err := time.Parse(time.RFC3339Nano, at); ok && err == nil {
		l.At = time.Duration(when.UnixNano())
	}
	if prefix := strings.Fields(text[:start]); len(prefix) > 0 {
		if seconds, err := strconv.ParseFloat(prefix[0], 64); err == nil {
			l.At = time.Duration(seconds * float64(time.Second))
		}
	}
	return l, l.Process != ""
}

// about reports whether a line is of a job.
func (l Line) about(job string) bool {
	return l.Job == job || strings.HasPrefix(l.Run, job+".")
}
