package observe

// Names of metrics. In the output of /metrics each one is preceded by Prefix and an
// underscore. docs/metrics.md describes each metric; a test compares the two lists.
const (
	// Prefix starts the name of every metric.
	Prefix = "azurerouter"

	// InvariantViolations counts violated assertions, by TagGuarantee.
	InvariantViolations = "invariant_violations"
	// ConditionActive is 1 while a condition is active, otherwise 0, by
	// TagCondition.
	ConditionActive = "condition_active"

	// MessagesSent counts messages to other processes, by TagKind.
	MessagesSent = "messages_sent"
	// MessagesReceived counts messages from other processes, by TagKind.
	MessagesReceived = "messages_received"
	// AnswersUnmatched counts task answers that match no outstanding task.
	AnswersUnmatched = "answers_unmatched"
	// CertificateSecondsLeft is the remaining validity of the process's own
	// certificate, in seconds.
	CertificateSecondsLeft = "certificate_seconds_left"
	// Connections is the number of open connections to other processes.
	Connections = "connections"

	// Submissions counts jobs and single requests received, by TagForm.
	Submissions = "submissions"
	// JobAnswers counts complete answers, by TagState.
	JobAnswers = "job_answers"
	// Refusals counts refused submissions, by TagCode.
	Refusals = "refusals"
	// JobsHeld is the number of jobs in the job table.
	JobsHeld = "jobs_held"
	// ResponseSeconds is the time from a submission to its complete answer, in
	// seconds.
	ResponseSeconds = "response_seconds"

	// TasksQueued is the number of tasks waiting for a target, by TagService.
	TasksQueued = "tasks_queued"
	// TasksOutstanding is the number of tasks sent and not yet answered.
	TasksOutstanding = "tasks_outstanding"
	// TasksDispatched counts tasks sent to agents, by TagService.
	TasksDispatched = "tasks_dispatched"
	// TasksRetried counts tasks sent again to another target.
	TasksRetried = "tasks_retried"
	// TargetsEjected is the number of ejected targets, by TagService.
	TargetsEjected = "targets_ejected"

	// TasksStarted counts calls of the target by its agent.
	TasksStarted = "tasks_started"
	// TasksEnded counts tasks that ended at the agent, by TagOutcome.
	TasksEnded = "tasks_ended"
	// TasksNotStarted counts tasks that the agent refused to start, by TagReason.
	TasksNotStarted = "tasks_not_started"
	// SlotsUsed is the number of tasks running on the target.
	SlotsUsed = "slots_used"
	// ResultBytesHeld is the size of the results an agent holds, in bytes.
	ResultBytesHeld = "result_bytes_held"

	// LogAppends counts appends to the log service, by TagStream and TagResult.
	LogAppends = "log_appends"
	// LogReads counts reads from the log service, by TagStream and TagResult.
	LogReads = "log_reads"
	// ClaimsPerAppend is the number of claims that share one append.
	ClaimsPerAppend = "claims_per_append"

	// ConfigOffset is the configuration version in force, as an offset in the
	// stream config.
	ConfigOffset = "config_offset"
	// DecisionsOmitted counts decisions that were left out of the log.
	DecisionsOmitted = "decisions_omitted"
	// LogLinesDropped counts log lines that were dropped, see NonBlockingWriter.
	LogLinesDropped = "log_lines_dropped"
	// JobsSubmitted counts jobs that callers submitted.
	JobsSubmitted = "jobs_submitted"
	// JobsEnded counts jobs that ended, by TagCode.
	JobsEnded = "jobs_ended"
	// JobsActive is the number of jobs that have not been answered.
	JobsActive = "jobs_active"
	// RunsOrdered counts runs that an entry ordered from agents.
	RunsOrdered = "runs_ordered"
	// RunsTurnedBack counts runs that agents refused, by TagReason.
	RunsTurnedBack = "runs_turned_back"
	// LocalWaits counts the steps that waited for a target in the rack of their data, or
	// the waits after which a task went there.
	LocalWaits = "local_waits"
	// RunsLost counts runs that were lost because their target or agent ended.
	RunsLost = "runs_lost"
	// RunsWithheld counts runs whose tasks wait because the target may still carry a start
	// of them out.
	RunsWithheld = "runs_withheld"
	// Stragglers counts runs that agents stopped because they were slow.
	Stragglers = "stragglers"
	// RestartsPaid counts tasks of such runs that took the usual time when they were
	// started again.
	RestartsPaid = "restarts_paid"
	// RunsStarted counts runs that an agent sent to its target.
	RunsStarted = "runs_started"
	// RunsEnded counts runs that ended at an agent, by TagOutcome.
	RunsEnded = "runs_ended"
	// RunsHeld is the number of runs that may still be running at a target.
	RunsHeld = "runs_held"
	// CallerResponses counts responses to callers, by TagStatus.
	CallerResponses = "caller_responses"
	// DurableSubmissions counts submissions of durable jobs, by TagOutcome.
	DurableSubmissions = "durable_submissions"
	// DurableCallsForwarded counts calls about durable jobs that were forwarded to
	// another entry and answered by it.
	DurableCallsForwarded = "durable_calls_forwarded"
	// DurableJobsTakenOver counts durable jobs taken over from entries that have
	// ended.
	DurableJobsTakenOver = "durable_jobs_taken_over"
	// DurableJobsHere is the number of durable jobs that run at the entry.
	DurableJobsHere = "durable_jobs_here"
	// DurableSnapshotRecords is the number of records read of the newest snapshot of
	// the log of durable jobs.
	DurableSnapshotRecords = "durable_snapshot_records"
	// TickLateSeconds is the longest delay of a periodic pass of the process within
	// the last second, in seconds.
	TickLateSeconds = "tick_late_seconds"
	// GoroutineWaitSeconds is the mean time for which goroutines of the process waited
	// for a processor within the last second, in seconds.
	GoroutineWaitSeconds = "goroutine_wait_seconds"
	// WorkMilliseconds counts the time spent on each kind of work, by TagWork.
	WorkMilliseconds = "work_milliseconds"
	// SubmissionsShed counts submissions that were rejected because the entry lacks
	// processor time.
	SubmissionsShed = "submissions_shed"
	// SubmissionsForwarded counts submissions that the entry has forwarded to another one
	// for lack of processor time, by TagOutcome; SubmissionsTaken counts those that it has
	// carried out for others.
	SubmissionsForwarded = "submissions_forwarded"
	SubmissionsTaken     = "submissions_taken"
	// RoutingVersion is the version of the routing configuration in force.
	RoutingVersion = "routing_version"
	// ZonesEvacuated is the number of availability zones that the operator has evacuated.
	ZonesEvacuated = "zones_evacuated"

	// IntakeBytes is the memory that unfinished requests take, in bytes, IntakeConnections the
	// number of open connections that the bounds apply to.
	IntakeBytes       = "intake_bytes"
	IntakeConnections = "intake_connections"
	// IntakeGivenUp counts requests and connections of clients that were given up, by TagReason.
	IntakeGivenUp = "intake_given_up"

	// ConfigFaults is the number of faults in the configuration in force.
	ConfigFaults = "config_faults"
)

// Names of the tags (labels) of metrics.
const (
	TagGuarantee = "guarantee"
	TagCondition = "condition"
	TagKind      = "kind"
	TagForm      = "form"
	TagWork      = "work"
	TagState     = "state"
	TagCode      = "code"
	TagService   = "service"
	TagOutcome   = "outcome"
	TagReason    = "reason"
	TagStream    = "stream"
	TagResult    = "result"
	TagStatus    = "status"
)
