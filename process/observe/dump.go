package observe

import (
	"encoding/json"
	"fmt"
	"sort"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// MaxDumpBytes limits an encoded dump. The dump is written as one log line, so
	// it has to stay below the line limit of common log collectors.
	MaxDumpBytes = 1 << 20
	// dumpTimeout limits how long a caller waits for a dump, which may itself wait
	// for a lock of the process.
	dumpTimeout = 2 * time.Second
	// maxStateBytes limits the state in a dump, and maxTextBytes each text in it.
	// Together they stay within MaxDumpBytes: the texts are those of at most 20
	// violations, and JSON escapes make a text up to six times as long.
	maxStateBytes = MaxDumpBytes / 2
	maxTextBytes  = 1 << 10
)

var (
	errDumpRunning = errors.New("another dump is being taken")
	errDumpTimeout = errors.New("the process took too long to describe its state")
)

// ReadyYes is the value of Dump.Ready in a process that is ready. Any other value
// is the reason why the process is not ready.
const ReadyYes = "yes"

// Dump is the response body of /dump.
type Dump struct {
	Process        string            `json:"process"`
	Time           time.Time         `json:"time"`
	UptimeSeconds  float64           `json:"uptime_seconds"`
	Ready          string            `json:"ready"`
	Violations     map[string]uint64 `json:"violations"`
	LastViolations []Violation       `json:"last_violations"`
	// OmittedMembers holds the sizes in bytes, by name, of the members of State
	// that were left out because the dump would have been too large.
	OmittedMembers map[string]int  `json:"omitted_members,omitempty"`
	State          json.RawMessage `json:"state"`
}

// dumper takes one dump at a time. The dump function runs on a goroutine of
// its own, so that neither the HTTP server nor the signal handler waits for a
// lock of the process longer than dumpTimeout.
type dumper struct {
	observer *Observer
	state    func() any
	ready    func() error
	timeout  time.Duration
	// running holds one element while a dump is being taken.
	running chan struct{}
}

func newDumper(o *Observer, state func() any, ready func() error) *dumper {
	return &dumper{observer: o, state: state, ready: ready, timeout: dumpTimeout, running: make(chan struct{}, 1)}
}

type dumpResult struct {
	data []byte
	err  error
}

// take returns an encoded dump of at most MaxDumpBytes. It returns errDumpRunning
// if another dump is being taken, and errDumpTimeout after the timeout; the dump
// then goes on in the background.
func (d *dumper) take() ([]byte, error) {
	select {
	case d.running <- struct{}{}:
	default:
		return nil, errDumpRunning
	}
	done := make(chan dumpResult, 1)
	go func() {
		defer func() { <-d.running }()
		data, err := d.encode()
		done <- dumpResult{data, err}
	}()
	timer := time.NewTimer(d.timeout)
	defer timer.Stop()
	select {
	case result := <-done:
		return result.data, result.err
	case <-timer.C:
		return nil, errDumpTimeout
	}
}

func (d *dumper) encode() ([]byte, error) {
	now := time.Now()
	state, err := json.Marshal(d.state())
	if err != nil {
		return nil, errors.Wrap(err, "encode state")
	}
	dump := Dump{Process: d.observer.name, Time: now, UptimeSeconds: now.Sub(d.observer.started).Seconds(), Ready: ReadyYes}
	if err := d.ready(); err != nil {
		dump.Ready = truncate(err.Error())
	}
	dump.LastViolations, dump.Violations = d.observer.Violations()
	for i := range dump.LastViolations {
		dump.LastViolations[i].Detail = truncate(dump.LastViolations[i].Detail)
	}
	dump.State, dump.OmittedMembers = boundState(state, maxStateBytes)
	data, err := json.Marshal(dump)
	if len(data) > MaxDumpBytes {
		// The names of very many omitted members can exceed the limit.
		dump.State, dump.OmittedMembers = omitState(state)
		return json.Marshal(dump)
	}
	return data, err
}

func truncate(text string) string {
	if len(text) <= maxTextBytes {
		return text
	}
	return fmt.Sprintf("%s... (%d bytes)", text[:maxTextBytes], len(text))
}

// boundState leaves out the largest members of a JSON object until the rest fits
// into maxBytes, and returns the sizes in bytes of the members that it left out.
// A state that is not an object is left out as a whole.
func boundState(state []byte, maxBytes int) (json.RawMessage, map[string]int) {
	if len(state) <= maxBytes {
		return state, nil
	}
	var members map[string]json.RawMessage
	if err := json.Unmarshal(state, &members); err != nil {
		return omitState(state)
	}
	names := make([]string, 0, len(members))
	for name := range members {
		names = append(names, name)
	}
	sort.Slice(names, func(i, j int) bool { return len(members[names[i]]) > len(members[names[j]]) })
	omitted := make(map[string]int)
	size := len(state)
	for _, name := range names {
		if size <= maxBytes {
			break
		}
		size -= len(members[name])
		omitted[name] = len(members[name])
		delete(members, name)
	}
	bounded, err := json.Marshal(members)
	if err != nil {
		return omitState(state)
	}
	return bounded, omitted
}

func omitState(state []byte) (json.RawMessage, map[string]int) {
	return json.RawMessage("null"), map[string]int{"state": len(state)}
}
