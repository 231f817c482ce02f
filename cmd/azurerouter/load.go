package main

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/azurerouter/azurerouter/request/job"
)

// Bounds of a run, so that a mistyped flag cannot put load on a deployment for hours.
const (
	maxLoadCount    = 1_000_000
	maxLoadDuration = 10 * time.Minute
	maxLoadClients  = 4096
)

// loadSettings are the flags of one run. Shares are from 0 to 1.
type loadSettings struct {
	entries, admins     addressList
	service, team       string
	priority, keyPrefix string
	count, clients      int
	duration            time.Duration
	rate                float64
	mix                 runTimeMix
	maxTasks            int
	singleShare         float64
	resubmitShare       float64
	resubmissionDelay   time.Duration
	deadline            time.Duration
	seed                uint64
}

// runLoad submits jobs and single requests to the entries and prints a report of the
// answers. It returns exitFailed if an answer was wrong, if nothing was answered, or if
// a process named by -admin could not be read.
func runLoad(args []string, stdout, stderr io.Writer) int {
	settings, code, ok := parseLoadFlags(args, stdout, stderr)
	if !ok {
		return code
	}
	ctx := context.Background()
	before, err := readMessageCounts(ctx, settings.admins)
	if err != nil {
		fmt.Fprintf(stderr, "load: %v\n", err)
		return exitFailed
	}
	report := newLoadRunner(settings).run()
	report.print(stdout)
	if err := printMessagesPerTask(ctx, stdout, settings.admins, before, report.tasksAnswered); err != nil {
		fmt.Fprintf(stderr, "load: %v\n", err)
		return exitFailed
	}
	if report.wrongTotal() > 0 || report.answeredTotal() == 0 {
		return exitFailed
	}
	return exitOK
}

// parseLoadFlags parses and validates the flags. ok is false if the command must exit
// with code.
func parseLoadFlags(args []string, stdout, stderr io.Writer) (s loadSettings, code int, ok bool) {
	s = loadSettings{mix: runTimeMix{{50, 1000, 98}, {2000, 4000, 2}}}
	flags := newFlags("load")
	flags.Var(&s.entries, "entry", "HTTP addresses of the entries, separated by commas; may be repeated")
	flags.Var(&s.admins, "admin", "admin addresses of all processes, to count messages per task")
	flags.StringVar(&s.service, "service", "card", "service")
	flags.StringVar(&s.team, "team", "load", "team")
	flags.StringVar(&s.priority, "priority", string(job.Urgent), "priority: urgent or batch")
	flags.StringVar(&s.keyPrefix, "run", "load-"+strconv.FormatInt(time.Now().UnixNano(), 36), "prefix of the submission keys")
	flags.IntVar(&s.count, "count", 1000, "maximum number of submissions, not counting resubmissions")
	flags.DurationVar(&s.duration, "duration", 30*time.Second, "longest time in which submissions start")
	flags.Float64Var(&s.rate, "rate", 0, "submissions per second; 0 means a closed loop")
	flags.IntVar(&s.clients, "clients", 32, "submissions in flight: constant in a closed loop, the maximum with -rate")
	flags.Var(&s.mix, "mix", "run times of tasks in ms, as LOW-HIGH:WEIGHT or MS:WEIGHT, separated by commas")
	flags.IntVar(&s.maxTasks, "tasks", 1, "maximum number of tasks of a job; the number is drawn from 1 to this")
	flags.Float64Var(&s.singleShare, "singles", 0, "share of single requests, from 0 to 1")
	flags.Float64Var(&s.resubmitShare, "resubmit", 0, "share submitted again through another entry, from 0 to 1")
	flags.DurationVar(&s.resubmissionDelay, "resubmit-after", 20*time.Millisecond, "delay of a resubmission")
	flags.DurationVar(&s.deadline, "deadline", job.DefaultDeadline, "deadline of a submission")
	flags.Uint64Var(&s.seed, "seed", 1, "seed of the submissions")
	if code, ok = parseFlags(flags, args, 0, stdout, stderr); !ok {
		return s, code, false
	}
	if err := s.validate(); err != nil {
		return s, usageError(flags, stderr, err.Error()), false
	}
	return s, exitOK, true
}

func (s loadSettings) validate() error {
	isShare := func(x float64) bool { return x >= 0 && x <= 1 }
	switch {
	case len(s.entries) == 0:
		return errors.New("-entry is required")
	case s.count < 1 || s.count > maxLoadCount:
		return errors.Newf("-count must be from 1 to %d", maxLoadCount)
	case s.duration <= 0 || s.duration > maxLoadDuration:
		return errors.Newf("-duration must be positive and at most %v", maxLoadDuration)
	case s.clients < 1 || s.clients > maxLoadClients:
		return errors.Newf("-clients must be from 1 to %d", maxLoadClients)
	case s.maxTasks < 1 || s.maxTasks > job.MaxTasks:
		return errors.Newf("-tasks must be from 1 to %d", job.MaxTasks)
	case !(s.rate >= 0):
		return errors.New("-rate must not be negative")
	case !isShare(s.singleShare) || !isShare(s.resubmitShare):
		return errors.New("-singles and -resubmit must be from 0 to 1")
	case s.resubmitShare > 0 && len(s.entries) < 2:
		return errors.New("-resubmit needs a second entry")
	case s.deadline < time.Millisecond || s.resubmissionDelay < 0:
		return errors.New("-deadline must be at least 1ms and -resubmit-after must not be negative")
	}
	return nil
}
