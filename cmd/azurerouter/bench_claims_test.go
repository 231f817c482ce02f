package main

import (
	"bytes"
	"io"
	"testing"
	"time"
)

// Guards against results that cannot be reproduced from the flags and the seed.
func TestBenchClaimsIsRepeatable(t *testing.T) {
	args := []string{"-jobs-per-second", "200", "-duration", "2s", "-outage", "40s"}
	var first, second bytes.Buffer
	if runBenchClaims(args, &first, io.Discard) != exitOK || runBenchClaims(args, &second, io.Discard) != exitOK {
		t.Fatal("the benchmark failed")
	}
	if first.String() != second.String() {
		t.Errorf("two runs differ:\n%s\n%s", first.String(), second.String())
	}
}

// Guards against faults at an outage of the log: submissions without an answer or
// started after their deadline, keyed submissions started without a claim, idempotent
// requests that are refused, and entries that claim nothing after the outage.
func TestOutageEndsEverySubmission(t *testing.T) {
	for run := range 4 {
		load := claimsLoad{entries: 1 + run/2, appendLatency: 5 * time.Millisecond, appendsPerSecond: 300, jobsPerSecond: 20, idempotentShare: 0.3, seed: 1,
			deadline: 10 * time.Second, duration: 2 * time.Minute, outageStart: 20 * time.Second, outageDuration: time.Minute, logHangs: run%2 == 1}
		s := newClaimsSim(load)
		var ended uint64
		afterwards := 0
		s.onJobEnd = func(job *simJob, served bool, _ string) {
			ended++
			at := s.now.Sub(s.start)
			switch {
			case served && s.now.Sub(job.submitted) > load.deadline:
				t.Errorf("run %d: a submission was served after its deadline at %v", run, at)
			case served && !job.idempotent && s.logIsDown() && at > load.outageStart+load.appendLatency:
				t.Errorf("run %d: a keyed submission was served at %v", run, at)
			case !served && job.idempotent:
				t.Errorf("run %d: an idempotent request was refused", run)
			case served && !job.idempotent && at > load.outageStart+load.outageDuration:
				afterwards++
			}
		}
		s.run()
		if ended != s.jobs || s.waitingClaims() != 0 || afterwards == 0 {
			t.Errorf("run %d: %d of %d submissions ended, %d claims wait, %d served after the outage",
				run, ended, s.jobs, s.waitingClaims(), afterwards)
		}
	}
}
