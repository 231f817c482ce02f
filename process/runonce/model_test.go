package runonce

import (
	"slices"
	"testing"
	"time"
)

// offsets are the times between the faults of a scenario.
var offsets = ms(0, 100, 200, 400, 600, 900, 1300, 1700, 2200)

// breakdowns are faults after which a task may start elsewhere.
const breakdowns = "kill_agent freeze_agent cut_agent cut_entry freeze_entry lost_stops kill_entry"

// jobs returns a variant for each kind of job.
func jobs(change func(*scenario)) []scenario {
	var variants []scenario
	for _, durable := range []bool{true, false} {
		for _, work := range ms(400, 1000, 6000) {
			s := scenario{durable: durable, work: work}
			if change != nil {
				change(&s)
			}
			variants = append(variants, s)
		}
	}
	return variants
}

// allJobs returns a variant for each kind of job, with exact and with slow clocks, and with
// targets that are busy.
func allJobs() []scenario {
	return slices.Concat(jobs(nil), jobs(func(s *scenario) { s.slowClocks = true }), jobs(func(s *scenario) { s.busy = true }))
}

func grantLeases(s *scenario) { s.lateCallsGrant = true }

// Guards against a task that runs twice, or starts after an end that counts, because one
// thing fails.
func TestTaskRunsOnceUnderOneFault(t *testing.T) {
	newSpace(1, grid(1700*time.Millisecond, 100*time.Millisecond), nil, allJobs()...).explore(t)
}

// Guards against the same when a second thing fails before, while or after the processes
// react to the first.
func TestTaskRunsOnceUnderTwoFaults(t *testing.T) {
	newSpace(2, grid(1200*time.Millisecond, 100*time.Millisecond), offsets, allJobs()...).explore(t)
}

// Guards against the same under three faults.
func TestTaskRunsOnceUnderThreeFaults(t *testing.T) {
	newSpace(3, grid(1200*time.Millisecond, 200*time.Millisecond), offsets, allJobs()...).explore(t)
}

// Guards against a task that starts although as many failed ends of it count as its queue
// allows (rule BUDGET).
func TestFailingTaskKeepsToItsAttempts(t *testing.T) {
	fails := func(s *scenario) { s.fails = true }
	newSpace(2, grid(1200*time.Millisecond, 100*time.Millisecond), offsets, jobs(fails)[:2]...).explore(t)
}

// Guards against two runs after a start that a restarted target has carried out late, with
// a lease that is longer than the one its agent asks for.
func TestLateStartAtARestartedTargetRunsAlone(t *testing.T) {
	newSeries(ms(0, 100, 300), ms(0, 20, 50, 100, 200, 300, 500), jobs(nil), "late_starts late_calls", "restart_target crash_target", breakdowns).explore(t)
}

// Guards against an owner that resumes while the other entry takes its job over, and orders
// the task before it has read that (docs/incidents/former-owners.md).
func TestOwnerThatResumesDuringItsTakeoverRunsNothing(t *testing.T) {
	lasting := []scenario{{durable: true, work: 6 * time.Second}}
	newSeries(ms(200), nil, lasting, namesOf(ownerFaultKinds())).explore(t)
}

// Guards against the same while orders to stop runs get lost.
func TestOwnerThatResumesWhileStopsAreLostRunsNothing(t *testing.T) {
	lasting := []scenario{{durable: true, work: 6 * time.Second}}
	newSeries(ms(200), ms(5400, 5800), lasting, namesOf(ownerFaultKinds()), "lost_stops").explore(t)
}

// Guards against runs of such an owner that outlive its ownership: it is delayed again when
// the ownership ends, 7.7 s after the submission, and its next message renews the sessions
// (docs/incidents/former-owners.md, part 5).
func TestRunsOfAResumedOwnerEndBeforeTheyStartElsewhere(t *testing.T) {
	lasting := []scenario{{durable: true, work: 12 * time.Second}}
	newSeries(ms(200), ms(7150, 7200, 7250, 7300, 7350, 7400, 7450), lasting, "resume_without_log_and_stops", "freeze_entry freeze_entry_tick_first").explore(t)
}

// Guards against an end that counts although its task starts again: it came after the
// session of its entry, and the job had ended when its agent could offer it
// (docs/incidents/review-4-late-ends.md).
func TestEndAfterTheSessionDoesNotCount(t *testing.T) {
	// The session ends 0.345 s to 0.495 s after the submission, depending on the time of the
	// last message, and the stop takes effect 40 ms after that.
	var around []scenario
	for _, work := range grid(520*time.Millisecond, timeStep)[400*time.Millisecond/timeStep:] {
		around = append(around, scenario{durable: true, busy: true, work: work})
	}
	newSeries(ms(75, 100), nil, around, "silence").explore(t)
}

// Guards against an end that counts although its task starts again: an entry that does not
// know the job, because it has not read the log, has confirmed it
// (docs/incidents/review-1-unread-log.md).
func TestEntryThatHasNotReadTheLogConfirmsNoEnd(t *testing.T) {
	unread := func(s *scenario) { s.otherUnread = true }
	newSeries(grid(1100*time.Millisecond, 25*time.Millisecond), ms(50, 200, 600), jobs(unread)[:2], "kill_agent", "kill_entry reset_entry cut_agent").explore(t)
}

// Guards against runs that outlive their session because orders to stop them are lost at
// the target (docs/incidents/overdue-stops.md).
func TestRunsEndAlthoughStopsAreLost(t *testing.T) {
	newSeries(ms(0, 300, 600), ms(0, 100, 200), allJobs(), "lost_stops", "freeze_entry cut_entry cut_agent cut_to_agents kill_entry reset_entry caller_leaves").explore(t)
}

// Guards against a done task that starts again because its entry has not read the report
// of the end (docs/incidents/late-reports.md).
func TestEntryThatLacksProcessorTimeStartsNoDoneTask(t *testing.T) {
	newSeries(grid(1500*time.Millisecond, 50*time.Millisecond), nil, jobs(nil)[:2], namesOf(starvationKinds())).explore(t)
}

// Guards against two runs of a job whose caller submits it to the other entry while the
// first one, or its agent, does not end the first run in time.
func TestResubmittedJobRunsOnceWhenItsFirstEntryFails(t *testing.T) {
	newSeries(ms(0, 200), ms(400, 800, 1000, 1200, 1300, 1400), jobs(nil)[3:], "caller_leaves_unnoticed",
		"freeze_entry freeze_entry_tick_first cut_entry cut_to_entry cut_to_agents kill_agent freeze_agent lost_stops late_stops").explore(t)
}

// Guards against a start of a killed agent that its target carries out after a restart.
func TestLateStartOfAKilledAgentRunsAlone(t *testing.T) {
	newSeries(ms(0, 100, 300), ms(0, 20, 50, 100, 200, 300, 500), jobs(nil), "late_starts late_calls", "kill_agent", "restart_target crash_target").explore(t)
}

// Guards against calls that a target carries out late and that grant a lease from then on:
// runs and ends outlive the lease that the agent counts on.
func TestLateCallsThatGrantLeasesKeepTheRule(t *testing.T) {
	newSeries(ms(0, 200, 700), ms(0, 100, 300, 500), jobs(grantLeases), "late_starts late_calls late_holds", breakdowns).explore(t)
}
