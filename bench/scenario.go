package bench

import "time"

// Scenario is a load with the faults that go with it.
type Scenario struct {
	Name string
	// Load is the offered work as a share of the slots.
	Load       float64
	wrongSizes bool
	rate       func(total time.Duration) func(time.Duration) float64
	faults     func(*cluster)
}

// Scenarios returns the compared scenarios: four loads without faults, then
// the faults of the design page at 80 % load. A fault lasts for the middle
// third of a run.
func Scenarios() []Scenario {
	return []Scenario{
		{Name: "load 50", Load: 0.5},
		{Name: "load 80", Load: 0.8},
		{Name: "load 95", Load: 0.95},
		{Name: "load 120", Load: 1.2},
		{Name: "straggler", Load: 0.8, faults: oneTarget(func(a *agent, on bool) {
			a.slow = 1
			if on {
				a.slow = 4
			}
		})},
		{Name: "wrong sizes", Load: 0.8, wrongSizes: true},
		{Name: "burst", Load: 0.8, rate: burst},
		{Name: "fails all", Load: 0.8, faults: oneTarget(func(a *agent, on bool) { a.failing = on })},
		{Name: "refuses all", Load: 0.8, faults: oneTarget(func(a *agent, on bool) {
			a.refuse = 0
			if on {
				a.refuse = 1
			}
		})},
		{Name: "zone fails", Load: 0.6, faults: zoneFails},
		{Name: "bad inputs", Load: 0.8, faults: badInputs},
		{Name: "hangs", Load: 0.8, faults: oneTarget(func(a *agent, on bool) { a.hanging = on })},
		{Name: "zone lost", Load: 0.6, faults: loseZone},
		{Name: "restarts", Load: 0.8, faults: restartAll},
	}
}

// Configure fills in a configuration for the scenario.
func (s Scenario) Configure(cfg Config) Config {
	cfg.Load, cfg.WrongSizes, cfg.Faults = s.Load, s.wrongSizes, s.faults
	if s.rate != nil {
		cfg.Rate = s.rate(cfg.Duration)
	}
	return cfg
}

// oneTarget switches a fault of target 3 on and off.
func oneTarget(set func(a *agent, on bool)) func(*cluster) {
	return func(c *cluster) {
		a := c.agents[3]
		c.at(c.cfg.Duration/3, func() { set(a, true) })
		c.at(2*c.cfg.Duration/3, func() { set(a, false) })
	}
}

// burst triples the load for 5 s.
func burst(total time.Duration) func(time.Duration) float64 {
	return func(now time.Duration) float64 {
		if now > total/2 && now < total/2+5*time.Second {
			return 3
		}
		return 1
	}
}

// zoneFails makes all targets of zone c fail everything, more than the limit on
// ejections covers.
func zoneFails(c *cluster) {
	for _, a := range c.agents {
		if a.zone == 2 {
			c.at(c.cfg.Duration/3, func() { a.failing = true })
			c.at(2*c.cfg.Duration/3, func() { a.failing = false })
		}
	}
}

// badInputs makes 60 % of all tasks fail on every target.
func badInputs(c *cluster) {
	c.at(c.cfg.Duration/3, func() { c.poisoned = 0.6 })
	c.at(2*c.cfg.Duration/3, func() { c.poisoned = 0 })
}

// loseZone loses the agents of zone c and brings them back.
func loseZone(c *cluster) {
	for _, a := range c.agents {
		if a.zone == 2 {
			c.at(c.cfg.Duration/3, a.lose)
			c.at(2*c.cfg.Duration/3, a.hello)
		}
	}
}

// restartAll restarts the agents one after the other: each leaves, finishes
// its tasks, and returns as a new incarnation.
func restartAll(c *cluster) {
	const away = 8 * time.Second
	between := (c.cfg.Duration - warmUp) / (targets + 1)
	for i, a := range c.agents {
		begin := warmUp + time.Duration(i)*between
		c.at(begin, a.leave)
		c.at(begin+away, a.hello)
	}
}
