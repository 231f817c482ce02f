package placement

// Parameters of the effect of contention.
const (
	// maxContention bounds the effect of a full target against an empty one, as the
	// logarithm of the ratio of durations.
	maxContention = 1.0
	// contentionPrior is the sum of squares of load differences that the prior of no effect
	// counts for. Loads that differ by 0.2 from their mean reach it with 100 samples.
	contentionPrior = 4.0
	// contentionRetention is the share of the earlier samples that remains with each new one.
	contentionRetention = 0.9995
	// loadWeight is the weight of a new sample in the mean load of a target.
	loadWeight = 0.05
)

// contention is the effect of the load of a target on the duration of its tasks. It is
// shared by all targets: the samples of one are too few to tell it from its speed.
type contention struct {
	effect, squares float64
}

// at returns the logarithm of the ratio of durations at a load to those at an empty target.
func (c *contention) at(load float64) float64 { return c.effect * load }

// add adds a sample: the logarithm of a duration relative to what was expected, and the
// difference of the load from the mean load of the same target. The comparison within one
// target keeps a target that is slow and busy from counting as an effect of the load.
func (c *contention) add(difference, distance float64) {
	c.squares = c.squares*contentionRetention + distance*distance
	c.effect += difference * distance / (c.squares + contentionPrior)
	c.effect = max(0, min(c.effect, maxContention))
}

// meanLoad is the mean load of a target at the starts of its runs.
type meanLoad struct {
	value float64
	known bool
}

// distance returns the difference of a load from the mean and adds the load to it.
func (m *meanLoad) distance(load float64) float64 {
	if !m.known {
		m.value, m.known = load, true
	}
	distance := load - m.value
	m.value += loadWeight * distance
	return distance
}
