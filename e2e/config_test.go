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
	exitPublished      = 0
	exitConflict       = 1
	exitUnknownOutcome = 3
)

// operator publishes a settings folder of its own with the publish command.
type operator struct {
	cluster *cluster
	dir     string
}

// operator returns an operator whose folder holds the files.
func (c *cluster) operator(files map[string]string) operator {
	c.t.Helper()
	o := operator{c, c.t.TempDir()}
	o.write(files)
	return o
}

// write writes files, by name, to the folder of the operator.
func (o operator) write(files map[string]string) {
	o.cluster.t.Helper()
	for name, text := range files {
		if err := os.WriteFile(filepath.Join(o.dir, name), []byte(text), 0o600); err != nil {
			o.cluster.t.Fatal(err)
		}
	}
}

// publish runs the publish command and returns its exit code and output. The code
// is -1 if the command did not run, or did not exit within waitTimeout.
func (o operator) publish(timeout time.Duration) (code int, output string) {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	cmd := exec.CommandContext(ctx, binary, "publish", "-log", o.cluster.logURL, "-timeout", timeout.String(), o.dir)
	out, err := cmd.CombinedOutput()
	var exit *exec.ExitError
	switch {
	case errors.As(err, &exit):
		return exit.ExitCode(), string(out)
	case err != nil:
		return -1, err.Error()
	}
	return exitPublished, string(out)
}

// publishConcurrently runs the publish command of all operators at the same time.
func publishConcurrently(operators ...operator) (codes []int, outputs []string) {
	codes, outputs = make([]int, len(operators)), make([]string, len(operators))
	var group sync.WaitGroup
	for i, o := range operators {
		group.Add(1)
		go func() {
			defer group.Done()
			codes[i], outputs[i] = o.publish(waitTimeout)
		}()
	}
	group.Wait()
	return codes, outputs
}

// offsetMonitor polls the offsets of the configuration in force in processes.
type offsetMonitor struct {
	stop  chan struct{}
	group sync.WaitGroup
}

// watchOffsets starts a monitor that fails the test if the offset of a process
// decreases.
func watchOffsets(t *testing.T, processes []*process) *offsetMonitor {
	monitor := &offsetMonitor{stop: make(chan struct{})}
	for _, p := range processes {
		monitor.group.Add(1)
		go func() {
			defer monitor.group.Done()
			highest := uint64(0)
			for {
				select {
				case <-monitor.stop:
					return
				case <-time.After(pollInterval):
				}
				d, err := p.readDump()
				if err != nil {
					continue
				}
				if d.State.ConfigOffset < highest {
					t.Errorf("config offset of %s went back from %d to %d", p.name, highest, d.State.ConfigOffset)
				}
				highest = max(highest, d.State.ConfigOffset)
			}
		}()
	}
	return monitor
}

// close stops the monitor.
func (m *offsetMonitor) close() {
	close(m.stop)
	m.group.Wait()
}

// configOffset returns the offset of the last record of the config stream.
func (c *cluster) configOffset() uint64 { return c.log.Status().Streams[configStream].Next - 1 }

// awaitOffset waits until the configuration in force in every process is that of
// the last record of the config stream.
func (c *cluster) awaitOffset() {
	c.t.Helper()
	for _, p := range append(c.entries, c.agents...) {
		c.await(p.name+" has the last record of the config stream in force", func() bool {
			// The offset is read each time, because a delayed record increases it.
			d, err := p.readDump()
			return err == nil && d.State.ConfigOffset == c.configOffset()
		})
	}
}

// sleepDelayMeter sums up by how much short sleeps exceed their duration. On a
// loaded machine this estimates the delay that scheduling adds to every process.
type sleepDelayMeter struct {
	stop   chan struct{}
	totals chan time.Duration
}

func startSleepDelayMeter() *sleepDelayMeter {
	meter := &sleepDelayMeter{make(chan struct{}), make(chan time.Duration)}
	go func() {
		var total time.Duration
		for {
			select {
			case <-meter.stop:
				meter.totals <- total
				return
			default:
			}
			began := time.Now()
			time.Sleep(pollInterval)
			total += time.Since(began) - pollInterval
		}
	}()
	return meter
}

// total stops the meter and returns the sum.
func (m *sleepDelayMeter) total() time.Duration {
	close(m.stop)
	return <-m.totals
}

// maxTimeToForce is the time limit of G8 from the acceptance of a publication until
// it is in force in every process.
const maxTimeToForce = 3 * time.Second

// G8: two operators publish at the same time. If the files differ, both publications
// are accepted; if both publish the same file, one is accepted and the other ends
// with a conflict. Every process has the same offset in force within 3 s, and its
// offset never decreases.
func TestConcurrentPublications(t *testing.T) {
	c := newCluster(t, 2, 2)
	monitor := watchOffsets(t, append(c.entries, c.agents...))
	defer monitor.close()
	one := c.operator(map[string]string{"20-one.json": `{"services":{"one":{}}}`})
	two := c.operator(map[string]string{"30-two.json": `{"services":{"two":{}}}`})
	if codes, outputs := publishConcurrently(one, two); codes[0] != exitPublished || codes[1] != exitPublished {
		t.Fatalf("publications of different files: exit codes %v, output %q", codes, outputs)
	}
	for _, name := range []string{"one", "two"} {
		c.awaitService(name)
	}
	one.write(map[string]string{"40-same.json": `{"services":{"by-one":{}}}`})
	two.write(map[string]string{"40-same.json": `{"services":{"by-two":{}}}`})
	// Both commands read the log before the first record appears, so that the
	// conflict is decided in the log and not by the second command.
	c.postLogControl(map[string]any{"append_delay_ms": 500})
	codes, outputs := publishConcurrently(one, two)
	c.postLogControl(map[string]any{"append_delay_ms": 0})
	if codes[0]+codes[1] != exitPublished+exitConflict {
		t.Fatalf("publications of the same file: exit codes %v, output %q", codes, outputs)
	}
	winner, loser, accepted := "by-one", "by-two", one
	if codes[0] == exitConflict {
		winner, loser, accepted = loser, winner, two
	}
	c.awaitService(winner)
	c.awaitOffset()
	for _, entry := range c.entries {
		if r := c.submitToService(entry, loser); r.Code != "unknown_service" {
			t.Errorf("%s replied %v for a service of the refused publication, want unknown_service", entry.name, r)
		}
	}

	delays := startSleepDelayMeter()
	accepted.write(map[string]string{"50-last.json": `{"services":{"last":{}}}`})
	if code, output := accepted.publish(waitTimeout); code != exitPublished {
		t.Fatalf("publication: exit code %d, output %s", code, output)
	}
	began := time.Now()
	c.awaitOffset()
	took, delay := time.Since(began), delays.total()
	// The delay of the machine is allowed once for each of the four steps: log,
	// entry, agent, and reading the dump in the test.
	const hops = 4
	if took > maxTimeToForce+hops*delay {
		t.Errorf("in force in every process after %v, limit %v plus %d times the sleep delay of %v", took, maxTimeToForce, hops, delay)
	}
}

// submitToService submits an idempotent request of a service.
func (c *cluster) submitToService(entry *process, service string) reply {
	body := `{"service":"` + service + `","team":"shop","idempotent":true,"deadline_ms":50,"input":1}`
	return post(c.context(), newClient(c.t), entry, "/v1/requests", []byte(body))
}

// awaitService waits until the service is configured in every entry.
func (c *cluster) awaitService(name string) {
	c.t.Helper()
	for _, entry := range c.entries {
		c.await(entry.name+" has service "+name+" configured", func() bool {
			r := c.submitToService(entry, name)
			return r.err == nil && r.Code != "unknown_service"
		})
	}
}

// G8: the log's response to the append of a publication is lost, and the record takes
// effect at once, or only after the command has reported an unknown outcome. The
// operator publishes again. The change takes effect once, and its late record does
// not revert a later change of the same file by another operator.
func TestPublicationAnswerLost(t *testing.T) {
	c := newCluster(t, 2, 1)
	monitor := watchOffsets(t, append(c.entries, c.agents...))
	defer monitor.close()
	one := c.operator(map[string]string{"20-one.json": `{"services":{"one":{}}}`})
	c.postLogControl(map[string]any{"lose_next": 1})
	if code, output := one.publish(waitTimeout); code != exitPublished {
		t.Fatalf("publication with a lost response: exit code %d, output %s", code, output)
	}
	c.awaitService("one")

	one.write(map[string]string{"20-one.json": `{"services":{"one":{},"late":{}}}`})
	const lateAppends = 1000
	c.postLogControl(map[string]any{"late_next": lateAppends, "late_ms": 9000})
	// After 4 s the command appends no more and only looks for its record.
	code, output := one.publish(4 * time.Second)
	if code != exitUnknownOutcome {
		t.Fatalf("publication whose records are delayed: exit code %d, output %s", code, output)
	}
	delayed := func() int { return lateAppends - c.log.Status().Control.LateNext }()
	c.postLogControl(map[string]any{"late_next": 0})
	if code, output = one.publish(waitTimeout); code != exitPublished {
		t.Fatalf("second publication of the same change: exit code %d, output %s", code, output)
	}
	c.awaitService("late")

	two := c.operator(nil)
	if code, output := two.fetch(); code != exitPublished {
		t.Fatalf("fetch: exit code %d, output %s", code, output)
	}
	two.write(map[string]string{"20-one.json": `{"services":{"one":{},"newer":{}}}`})
	if code, output := two.publish(waitTimeout); code != exitPublished {
		t.Fatalf("publication of the second operator: exit code %d, output %s", code, output)
	}
	c.await("the late records have appeared", func() bool { return int(c.log.Status().Counters.EffectsLate) >= delayed })
	c.awaitOffset()
	for _, entry := range c.entries {
		if r := c.submitToService(entry, "newer"); r.Code == "unknown_service" {
			t.Errorf("%s: a late record reverted a newer publication", entry.name)
		}
		if r := c.submitToService(entry, "late"); r.Code != "unknown_service" {
			t.Errorf("%s: a late record took effect a second time: %v", entry.name, r)
		}
	}
}

// G8: the log's response to the append of a publication is lost, and the time limit
// of the command passes while it retries. The command must report an unknown
// outcome, because the first record appears in the log later and takes effect.
func TestPublicationAnswerLostAtTimeLimit(t *testing.T) {
	c := newCluster(t, 1, 1)
	one := c.operator(map[string]string{"20-one.json": `{"services":{"one":{}}}`})
	c.postLogControl(map[string]any{"late_next": 1000, "late_ms": 3000})
	code, output := one.publish(time.Second)
	c.awaitService("one")
	if code != exitUnknownOutcome {
		t.Errorf("the publication took effect after the command ended: exit code %d, want %d; output %s", code, exitUnknownOutcome, output)
	}
}

// fetch runs the publish command with -fetch, which writes the published files to
// the folder.
func (o operator) fetch() (code int, output string) {
	cmd := exec.Command(binary, "publish", "-fetch", "-log", o.cluster.logURL, o.dir)
	out, err := cmd.CombinedOutput()
	if err != nil {
		return -1, err.Error() + " " + string(out)
	}
	return exitPublished, string(out)
}

// G8, G4: an entry is started while the log is down. It takes the configuration and
// the list of entries from its peers and serves idempotent requests; keyed ones are
// refused as not run. Once the log is available again, the entry applies new
// publications and serves keyed jobs.
func TestEntryStartedWhileLogIsDown(t *testing.T) {
	c := newCluster(t, 2, 2)
	ctx, client := c.context(), newClient(t)
	c.postLogControl(map[string]any{"outage": "down"})
	third := c.addEntry(2)
	third.start("entry")
	c.awaitServing()
	c.awaitOffset()
	monitor := watchOffsets(t, append(c.entries, c.agents...))
	defer monitor.close()
	request := newIdempotentRequest(5)
	checkComplete(t, request, submit(ctx, client, third, request))
	s := newJob("no-log", 2, 5)
	s.firstSubmission, s.deadlineMS = true, 300
	checkRefusedNotRun(t, s, submit(ctx, client, third, s))
	c.postLogControl(map[string]any{"outage": ""})
	one := c.operator(map[string]string{"20-one.json": `{"services":{"one":{}}}`})
	if code, output := one.publish(waitTimeout); code != exitPublished {
		t.Fatalf("publication: exit code %d, output %s", code, output)
	}
	c.awaitOffset()
	c.awaitClaims("log-is-back")
	checkStarts(t, c, s, 0)
}

// G8: an entry that starts after the log has trimmed old records, and has no peer to
// take the configuration from, must still put into force what these published. It
// takes it from a snapshot.
func TestEntryStartsFromTrimmedLog(t *testing.T) {
	c := newCluster(t, 1, 1)
	c.publish(config.Change{ID: "old", BaseVersions: map[string]uint64{"20-old.json": 0},
		Put: map[string][]byte{"20-old.json": []byte(`{"services":{"old":{}}}`)}})
	c.awaitService("old")
	const publications, kept = 300, 100
	before, version := c.configOffset(), uint64(0)
	for i := range publications {
		version = c.publish(config.Change{ID: fmt.Sprint("change-", i), BaseVersions: map[string]uint64{"30-team.json": version},
			Put: map[string][]byte{"30-team.json": fmt.Appendf(nil, `{"teams":{"t":{"starts_per_second":%d}}}`, i+1)}})
	}
	c.awaitOffset()
	c.await("a snapshot is written", func() bool { return c.configOffset() > before+publications })
	c.postLogControl(map[string]any{"retain_records": kept})
	c.await("the oldest records are trimmed", func() bool { return c.log.Status().Streams[configStream].First > 2 })
	c.entries[0].kill()
	late := c.addEntry(1)
	late.start("entry")
	c.entries = c.entries[1:]
	c.awaitService("old")
	c.awaitOffset()
}
