package scheduler

import "time"

// Policy names a rule for the choice of a target.
type Policy string

// Values of Policy.
const (
	// Random sends to a random target with room.
	Random Policy = "random"
	// LeastOutstanding sends to the target with the smallest share of busy slots
	// among up to leastOutstandingCandidates random ones.
	LeastOutstanding Policy = "least_outstanding"
	// TwoChoices sends to the less loaded of two random targets.
	TwoChoices Policy = "two_choices"
	// Credits sends only into slots that agents have granted to this entry.
	Credits Policy = "credits"
)

// Policies returns every policy, for checks of settings and for comparisons.
func Policies() []Policy { return []Policy{Random, LeastOutstanding, TwoChoices, Credits} }

// Settings are the parameters of one service. A zero field takes the value of
// DefaultSettings.
type Settings struct {
	Policy Policy
	// QueueLimit is the largest number of tasks that may wait.
	QueueLimit int
	// BatchAging is the waiting time after which a batch task may start although
	// urgent tasks wait, at every agedBatchInterval-th start.
	BatchAging time.Duration
	// BatchReserve is the share of all slots that batch work leaves free for
	// urgent work, 0 to 1. A negative value means no reserve.
	BatchReserve float64
	// BatchSpread is the share of the time to its deadline over which batch work
	// is spread to keep the number of busy slots even, 0 to 1. With 0, batch
	// work is sent as soon as slots are idle.
	BatchSpread float64
	// EjectShare is the share of failed answers at which a target is ejected,
	// 0 to 1.
	EjectShare float64
	// EjectSamples is how many recent answers are needed for an ejection.
	EjectSamples int
	// EjectZoneCap is the share of the live targets of an availability zone
	// that may be ejected at once, 0 to 1. At least one target of the zone
	// may be ejected, unless it is the only live target.
	EjectZoneCap float64
	// ProbeAfter is the time between an ejection and the first probe. It
	// doubles with each failed probe, up to ProbeMax.
	ProbeAfter, ProbeMax time.Duration
	// RetryShare is the share of recent successes that may be retried.
	RetryShare float64
	// RetryMinimum is the number of retries per window that are allowed
	// regardless of the successes.
	RetryMinimum int
}

// DefaultSettings returns the settings of a service whose configuration sets
// none.
func DefaultSettings() Settings {
	return Settings{
		Policy:       LeastOutstanding,
		QueueLimit:   20000,
		BatchAging:   10 * time.Second,
		BatchReserve: 0.025,
		EjectShare:   0.5,
		EjectSamples: 5,
		EjectZoneCap: 0.3,
		ProbeAfter:   time.Second,
		ProbeMax:     30 * time.Second,
		RetryShare:   0.1,
		RetryMinimum: 10,
	}
}

func (s Settings) withDefaults() Settings {
	d := DefaultSettings()
	s.Policy = orDefault(s.Policy, d.Policy)
	s.QueueLimit = orDefault(s.QueueLimit, d.QueueLimit)
	s.BatchAging = orDefault(s.BatchAging, d.BatchAging)
	s.BatchReserve = orDefault(s.BatchReserve, d.BatchReserve)
	s.EjectShare = orDefault(s.EjectShare, d.EjectShare)
	s.EjectSamples = orDefault(s.EjectSamples, d.EjectSamples)
	s.EjectZoneCap = orDefault(s.EjectZoneCap, d.EjectZoneCap)
	s.ProbeAfter = orDefault(s.ProbeAfter, d.ProbeAfter)
	s.ProbeMax = orDefault(s.ProbeMax, d.ProbeMax)
	s.RetryShare = orDefault(s.RetryShare, d.RetryShare)
	s.RetryMinimum = orDefault(s.RetryMinimum, d.RetryMinimum)
	return s
}

func orDefault[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}
