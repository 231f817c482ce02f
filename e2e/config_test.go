package e2e

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/azurerouter/azurerouter/version/config"
)

// Exit codes of the command publish.
const (
	published          = 0
	publishConflict    = 1
	publicationUnknown = 3
)

// operator is a folder of settings and the command that publishes it.
type operator struct {
	c   *cluster
	dir string
}

func (c *cluster) operator(files map[string]string) operator {
	c.t.Helper()
	o := operator{c, c.t.TempDir()}
	o.write(files)
	return o
}

func (o operator) write(files map[string]string) {
	o.c.t.Helper()
	for name, text := range files {
		if err := os.WriteFile(filepath.Join(o.dir, name), []byte(text), 0o600); err != nil {
			o.c.t.Fatal(err)
		}
	}
}

// publish runs the command and returns its exit code and output.
func (o operator) publish(timeout time.Duration) (code int, output string) {
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	cmd := exec.CommandContext(ctx, binary, "publish", "-log", o.c.logURL, "-timeout", timeout.String(), o.dir)
	out, err := cmd.CombinedOutput()
	var exit *exec.ExitError
	switch {
	case errors.As(err, &exit):
		return exit.ExitCode(), string(out)
	case err != nil:
		return -1, err.Error()
	}
	return published, string(out)
}

func publishAtOnce(operators ...operator) (codes []int, outputs []string) {
	codes, outputs = make([]int, len(operators)), make([]string, len(operators))
	var done sync.WaitGroup
	for i, o := range operators {
		done.Add(1)
		go func() {
			defer done.Done()
			codes[i], outputs[i] = o.publish(waitLimit)
		}()
	}
	done.Wait()
	return codes, outputs
}

// offsetMonitor follows the configuration offsets of processes.
type offsetMonitor struct {
	stop chan struct{}
	done sync.WaitGroup
}

// watchOffsets fails the test if an offset of a process is ever lower than
// before.
func watchOffsets(t *testing.T, processes []*process) *offsetMonitor {
	m := &offsetMonitor{stop: make(chan struct{})}
	for _, p := range processes {
		m.done.Add(1)
		go func() {
			defer m.done.Done()
			highest := uint64(0)
			for {
				select {
				case <-m.stop:
					return
				case <-time.After(pollInterval):
				}
				d, err := p.readDump()
				if err != nil {
					continue
				}
				if d.State.ConfigOffset < highest {
					t.Errorf("%s went back from offset %d to %d", p.name, highest, d.State.ConfigOffset)
				}
				highest = max(highest, d.State.ConfigOffset)
			}
		}()
	}
	return m
}

func (m *offsetMonitor) end() {
	close(m.stop)
	m.done.Wait()
}

func (c *cluster) configOffset() uint64 { return c.log.Status().Streams[configStream].Next - 1 }

// awaitOffset waits until every process is at the end of the config stream.
func (c *cluster) awaitOffset() {
	c.t.Helper()
	for _, p := range append(c.entries, c.agents...) {
		c.await(p.name+" is at the end of the config stream", func() bool {
			// The end moves when a delayed record appears.
			d, err := p.readDump()
			return err == nil && d.State.ConfigOffset == c.configOffset()
		})
	}
}

// stallMeter measures how much longer short sleeps take than asked for, which
// is what a loaded machine adds to the steps of every process on it.
type stallMeter struct {
	stop  chan struct{}
	total chan time.Duration
}

func startStallMeter() *stallMeter {
	m := &stallMeter{make(chan struct{}), make(chan time.Duration)}
	go func() {
		var total time.Duration
		for {
			select {
			case <-m.stop:
				m.total <- total
				return
			default:
			}
			began := time.Now()
			time.Sleep(pollInterval)
			total += time.Since(began) - pollInterval
		}
	}()
	return m
}

func (m *stallMeter) end() time.Duration {
	close(m.stop)
	return <-m.total
}

// inForceBound is the bound that G8 states.
const inForceBound = 3 * time.Second

// G8: two operators publish at the same moment. Of different files both are
// accepted, of the same file one is, and the other is told. Every process gets
// to the same offset within 3 s and never goes back.
func TestConcurrentPublications(t *testing.T) {
	c := newCluster(t, 2, 2)
	monitor := watchOffsets(t, append(c.entries, c.agents...))
	defer monitor.end()
	one := c.operator(map[string]string{"20-one.json": `{"services":{"one":{}}}`})
	two := c.operator(map[string]string{"30-two.json": `{"services":{"two":{}}}`})
	if codes, outputs := publishAtOnce(one, two); codes[0] != published || codes[1] != published {
		t.Fatalf("publications of different files ended with %v: %q", codes, outputs)
	}
	for _, name := range []string{"one", "two"} {
		c.awaitService(name)
	}
	one.write(map[string]string{"40-same.json": `{"services":{"by-one":{}}}`})
	two.write(map[string]string{"40-same.json": `{"services":{"by-two":{}}}`})
	// Both read the log before the first record appears, so that the verdict is
	// that of the log and not of the command.
	c.controlLog(map[string]any{"append_delay_ms": 500})
	codes, outputs := publishAtOnce(one, two)
	c.controlLog(map[string]any{"append_delay_ms": 0})
	if codes[0]+codes[1] != published+publishConflict {
		t.Fatalf("publications of the same file ended with %v: %q", codes, outputs)
	}
	winner, loser, accepted := "by-one", "by-two", one
	if codes[0] == publishConflict {
		winner, loser, accepted = loser, winner, two
	}
	c.awaitService(winner)
	c.awaitOffset()
	for _, entry := range c.entries {
		if r := c.submitTo(entry, loser); r.Code != "unknown_service" {
			t.Errorf("%s answered %v for a service of a refused publication", entry.name, r)
		}
	}

	stalls := startStallMeter()
	accepted.write(map[string]string{"50-last.json": `{"services":{"last":{}}}`})
	if code, output := accepted.publish(waitLimit); code != published {
		t.Fatalf("publication ended with %d: %s", code, output)
	}
	began := time.Now()
	c.awaitOffset()
	took, stalled := time.Since(began), stalls.end()
	// The machine's own delay counts once for each of the hops log, entry,
	// agent and the test's read of the dump.
	const hops = 4
	if took > inForceBound+hops*stalled {
		t.Errorf("in force everywhere after %v; stalls of the machine took %v", took, stalled)
	}
}

// submitTo submits a job of another service.
func (c *cluster) submitTo(entry *process, service string) reply {
	body := `{"service":"` + service + `","team":"shop","idempotent":true,"deadline_ms":50,"input":1}`
	return post(c.context(), newCaller(c.t), entry, "/v1/requests", []byte(body))
}

// awaitService waits until every entry knows a service.
func (c *cluster) awaitService(name string) {
	c.t.Helper()
	for _, entry := range c.entries {
		c.await(entry.name+" knows service "+name, func() bool {
			r := c.submitTo(entry, name)
			return r.err == nil && r.Code != "unknown_service"
		})
	}
}

// G8: the answer to a publication is lost, with the record taking effect at once
// or only after the operator was told that the outcome is unknown. The operator
// publishes again; the change takes effect once, and another operator's later
// change of the same file is not reverted.
func TestPublicationAnswerLost(t *testing.T) {
	c := newCluster(t, 2, 1)
	monitor := watchOffsets(t, append(c.entries, c.agents...))
	defer monitor.end()
	one := c.operator(map[string]string{"20-one.json": `{"services":{"one":{}}}`})
	c.controlLog(map[string]any{"lose_next": 1})
	if code, output := one.publish(waitLimit); code != published {
		t.Fatalf("publication with a lost answer ended with %d: %s", code, output)
	}
	c.awaitService("one")

	one.write(map[string]string{"20-one.json": `{"services":{"one":{},"late":{}}}`})
	const lateAppends = 1000
	c.controlLog(map[string]any{"late_next": lateAppends, "late_ms": 9000})
	// After 4 s the command has given up appending and only looks for its record.
	code, output := one.publish(4 * time.Second)
	if code != publicationUnknown {
		t.Fatalf("publication without an outcome ended with %d: %s", code, output)
	}
	late := func() int { return lateAppends - c.log.Status().Control.LateNext }()
	c.controlLog(map[string]any{"late_next": 0})
	if code, output = one.publish(waitLimit); code != published {
		t.Fatalf("publishing again ended with %d: %s", code, output)
	}
	c.awaitService("late")

	two := c.operator(nil)
	if code, output := two.fetch(); code != published {
		t.Fatalf("fetch ended with %d: %s", code, output)
	}
	two.write(map[string]string{"20-one.json": `{"services":{"one":{},"newer":{}}}`})
	if code, output := two.publish(waitLimit); code != published {
		t.Fatalf("publication of the second operator ended with %d: %s", code, output)
	}
	c.await("the late records have appeared", func() bool { return int(c.log.Status().Counters.EffectsLate) >= late })
	c.awaitOffset()
	for _, entry := range c.entries {
		if r := c.submitTo(entry, "newer"); r.Code == "unknown_service" {
			t.Errorf("%s: a late record has reverted a newer publication", entry.name)
		}
		if r := c.submitTo(entry, "late"); r.Code != "unknown_service" {
			t.Errorf("%s: a late record has taken effect a second time: %v", entry.name, r)
		}
	}
}

// G8: the answer to a publication is lost, and the time limit of the command ends
// while it tries again. It must not say that the publication had no effect: its
// first record appears in the log later and takes effect.
func TestPublicationAnswerLostAtTheTimeLimit(t *testing.T) {
	c := newCluster(t, 1, 1)
	one := c.operator(map[string]string{"20-one.json": `{"services":{"one":{}}}`})
	c.controlLog(map[string]any{"late_next": 1000, "late_ms": 3000})
	code, output := one.publish(time.Second)
	c.awaitService("one")
	if code != publicationUnknown {
		t.Errorf("the publication took effect after the command had ended with %d: %s", code, output)
	}
}

// fetch takes over the published files.
func (o operator) fetch() (code int, output string) {
	cmd := exec.Command(binary, "publish", "-fetch", "-log", o.c.logURL, o.dir)
	out, err := cmd.CombinedOutput()
	if err != nil {
		return -1, err.Error() + " " + string(out)
	}
	return published, string(out)
}

// G8, G4: an entry is started while the log is down. It takes the configuration
// and the other entries from its peers and serves idempotent requests; keyed ones
// are refused as not run. When the log is back it follows it.
func TestEntryStartedWhileLogIsDown(t *testing.T) {
	c := newCluster(t, 2, 2)
	ctx, client := c.context(), newCaller(t)
	c.controlLog(map[string]any{"outage": "down"})
	third := c.addEntry(2)
	third.start("entry")
	c.awaitServing()
	c.awaitOffset()
	monitor := watchOffsets(t, append(c.entries, c.agents...))
	defer monitor.end()
	request := newIdempotent(5)
	checkComplete(t, request, submit(ctx, client, third, request))
	s := newJob("no-log", 2, 5)
	s.first, s.deadlineMS = true, 300
	checkRefusedNotRun(t, s, submit(ctx, client, third, s))
	c.controlLog(map[string]any{"outage": ""})
	one := c.operator(map[string]string{"20-one.json": `{"services":{"one":{}}}`})
	if code, output := one.publish(waitLimit); code != published {
		t.Fatalf("publication ended with %d: %s", code, output)
	}
	c.awaitOffset()
	c.awaitClaims("log-is-back")
	checkStarts(t, c, s, 0)
}

// G8: the log trims old records. What they published is still in force in an
// entry that starts afterwards and has nobody but the log to ask.
func TestTrimmedLogStartsAnEntry(t *testing.T) {
	c := newCluster(t, 1, 1)
	c.publish(config.Change{ID: "old", Base: map[string]uint64{"20-old.json": 0},
		Put: map[string][]byte{"20-old.json": []byte(`{"services":{"old":{}}}`)}})
	c.awaitService("old")
	const publications, kept = 300, 100
	before, version := c.configOffset(), uint64(0)
	for i := range publications {
		version = c.publish(config.Change{ID: fmt.Sprint("change-", i), Base: map[string]uint64{"30-team.json": version},
			Put: map[string][]byte{"30-team.json": fmt.Appendf(nil, `{"teams":{"t":{"starts_per_second":%d}}}`, i+1)}})
	}
	c.awaitOffset()
	c.await("a snapshot is written", func() bool { return c.configOffset() > before+publications })
	c.controlLog(map[string]any{"retain_records": kept})
	c.await("the oldest records are trimmed", func() bool { return c.log.Status().Streams[configStream].First > 2 })
	c.entries[0].end()
	late := c.addEntry(1)
	late.start("entry")
	c.entries = c.entries[1:]
	c.awaitService("old")
	c.awaitOffset()
}
