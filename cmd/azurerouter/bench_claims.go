package main

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// runBenchClaims measures group commit in virtual time: the latency that it adds per
// job, the appends per job, and the effects of an outage of the log.
func runBenchClaims(args []string, stdout, stderr io.Writer) int {
	flags := newFlags("bench claims")
	seed := flags.Uint64("seed", 1, "seed of the arrivals")
	rate := flags.Float64("jobs-per-second", 1000, "job starts per second that the targets can handle; the runs with an outage use the share -load of it")
	limit := flags.Float64("appends-per-second", 300, "appends per second that the log accepts")
	duration := flags.Duration("duration", time.Minute, "virtual duration of each run of the first table")
	outage := flags.Duration("outage", 10*time.Minute, "virtual duration of the outage; 0 skips the runs with an outage")
	load := flags.Float64("load", 0.8, "share of -jobs-per-second that arrives in the runs with an outage")
	idempotent := flags.Float64("idempotent", 0.3, "share of idempotent requests, which need no claim, in the runs with an outage")
	deadline := flags.Duration("deadline", 30*time.Second, "deadline of every submission")
	if code, ok := parseFlags(flags, args, 0, stdout, stderr); !ok {
		return code
	}
	base := claimsLoad{appendsPerSecond: *limit, jobsPerSecond: *rate, deadline: *deadline, duration: *duration, seed: *seed}
	benchGroupCommit(base, stdout)
	if *outage <= 0 {
		return exitOK
	}
	base.jobsPerSecond, base.targetJobsPerSecond = *rate**load, *rate
	base.idempotentShare, base.entries, base.appendLatency = *idempotent, 3, 5*time.Millisecond
	base.outageStart, base.outageDuration, base.duration = time.Minute, *outage, *outage+4*time.Minute
	for _, hang := range []bool{false, true} {
		base.logHangs = hang
		benchOutage(base, stdout)
	}
	return exitOK
}

// benchGroupCommit prints one row for each append latency and number of entries.
func benchGroupCommit(base claimsLoad, stdout io.Writer) {
	fmt.Fprintf(stdout, "Group commit: %g jobs/s, %g appends/s, seed %d\n\n", base.jobsPerSecond, base.appendsPerSecond, base.seed)
	table := tabwriter.NewWriter(stdout, 0, 0, 1, ' ', 0)
	fmt.Fprintln(table, "| entries\t| append ms\t| added p50 ms\t| added p99 ms\t| added max ms\t| appends/s\t| appends/job\t| reads/job\t| claims/append\t| refused\t|")
	fmt.Fprintln(table, "| ---:\t| ---:\t| ---:\t| ---:\t| ---:\t| ---:\t| ---:\t| ---:\t| ---:\t| ---:\t|")
	for _, appendLatency := range []time.Duration{time.Millisecond, 5 * time.Millisecond, 20 * time.Millisecond} {
		for entries := 1; entries <= 4; entries++ {
			load := base
			load.entries, load.appendLatency = entries, appendLatency
			s := newClaimsSim(load)
			refused := 0
			s.onJobEnd = func(_ *simJob, served bool, _ string) {
				if !served {
					refused++
				}
			}
			s.run()
			jobs, appends := float64(s.jobs), float64(s.appends)
			fmt.Fprintf(table, "| %d\t| %d\t| %.1f\t| %.1f\t| %.1f\t| %.0f\t| %.3f\t| %.3f\t| %.1f\t| %d\t|\n",
				entries, appendLatency.Milliseconds(), inMilliseconds(s.decisionLatency.ValueAtQuantile(50)),
				inMilliseconds(s.decisionLatency.ValueAtQuantile(99)), inMilliseconds(s.decisionLatency.Max()),
				appends/load.duration.Seconds(), appends/jobs, float64(s.reads)/jobs, jobs/appends, refused)
		}
	}
	table.Flush()
}

// outagePhase counts the submissions of one phase of a run with an outage.
type outagePhase struct {
	name                                     string
	until                                    time.Duration
	keyed, idempotent                        int
	keyedServed, idempotentServed            int
	logUnavailable, overloaded, otherRefused int
	// startDelay is the time from submission to start of served keyed submissions, in
	// microseconds.
	startDelay *hdrhistogram.Histogram
}

func outagePhases(load claimsLoad) []*outagePhase {
	end := load.outageStart + load.outageDuration
	phases := []*outagePhase{
		{name: "before", until: load.outageStart - load.deadline},
		{name: "deadline before outage", until: load.outageStart},
		{name: "outage", until: end - load.deadline},
		{name: "deadline before end", until: end},
		{name: "first minute after", until: end + time.Minute},
		{name: "second minute after", until: end + 2*time.Minute},
		{name: "later", until: load.duration + simDrainTime},
	}
	for _, p := range phases {
		p.startDelay = hdrhistogram.New(1, time.Hour.Microseconds(), 3)
	}
	return phases
}

// benchOutage runs one simulation with an outage and prints its submissions by phase.
func benchOutage(load claimsLoad, stdout io.Writer) {
	s := newClaimsSim(load)
	phases := outagePhases(load)
	end := s.start.Add(load.outageStart + load.outageDuration)
	var firstServedAfter, lastBacklogAfter time.Duration
	s.onJobEnd = func(job *simJob, served bool, reason string) {
		p := phaseOf(phases, job.submitted.Sub(s.start))
		p.count(job, served, reason, s.targetsFreeAt.Sub(job.submitted))
		if served && !job.idempotent && !s.now.Before(end) && firstServedAfter == 0 {
			firstServedAfter = s.now.Sub(end)
		}
		// A queue of up to 100 ms is random variation of the arrivals, not backlog.
		if s.now.After(end) && s.backlog > 100*time.Millisecond {
			lastBacklogAfter = s.now.Sub(end)
		}
	}
	s.run()
	mode := "answers 503"
	if load.logHangs {
		mode = "hangs"
	}
	fmt.Fprintf(stdout, "\nOutage of %v, log %s: %d entries, append %v, %g jobs/s of %g, %.0f %% idempotent, deadline %v, seed %d\n\n",
		load.outageDuration, mode, load.entries, load.appendLatency, load.jobsPerSecond, load.targetJobsPerSecond, 100*load.idempotentShare, load.deadline, load.seed)
	table := tabwriter.NewWriter(stdout, 0, 0, 1, ' ', 0)
	fmt.Fprintln(table, "| submitted\t| keyed\t| served\t| log_unavailable\t| overloaded\t| other\t| idempotent\t| served\t| keyed start p50 ms\t| p99 ms\t|")
	fmt.Fprintln(table, "| ---:\t| ---:\t| ---:\t| ---:\t| ---:\t| ---:\t| ---:\t| ---:\t| ---:\t| ---:\t|")
	for _, p := range phases {
		fmt.Fprintf(table, "| %s\t| %d\t| %d\t| %d\t| %d\t| %d\t| %d\t| %d\t| %s\t| %s\t|\n", p.name, p.keyed, p.keyedServed,
			p.logUnavailable, p.overloaded, p.otherRefused, p.idempotent, p.idempotentServed, p.startDelayAt(50), p.startDelayAt(99))
	}
	table.Flush()
	fmt.Fprintf(stdout, "\nFirst keyed submission decided %v after the end; backlog at the targets gone after %v.\n",
		firstServedAfter.Round(time.Millisecond), lastBacklogAfter.Round(time.Millisecond))
	fmt.Fprintf(stdout, "Most claims waiting at once: %d; largest batch: %d claims; appends sent: %d; reads sent: %d; undecided at the end: %d.\n",
		s.maxWaiting, s.maxBatch, s.appends, s.reads, s.waitingClaims())
}

func phaseOf(phases []*outagePhase, submitted time.Duration) *outagePhase {
	for _, p := range phases {
		if submitted < p.until {
			return p
		}
	}
	return phases[len(phases)-1]
}

func (p *outagePhase) count(job *simJob, served bool, reason string, wait time.Duration) {
	if job.idempotent {
		p.idempotent++
		if served {
			p.idempotentServed++
		}
		if reason == "overloaded" {
			p.overloaded++
		}
		return
	}
	p.keyed++
	switch {
	case served:
		p.keyedServed++
		p.startDelay.RecordValue(wait.Microseconds())
	case reason == "log_unavailable":
		p.logUnavailable++
	case reason == "overloaded":
		p.overloaded++
	default:
		p.otherRefused++
	}
}

// startDelayAt returns a quantile in milliseconds, or a dash if no keyed submission was
// served.
func (p *outagePhase) startDelayAt(quantile float64) string {
	if p.keyedServed == 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f", inMilliseconds(p.startDelay.ValueAtQuantile(quantile)))
}

func inMilliseconds(microseconds int64) float64 { return float64(microseconds) / 1000 }
