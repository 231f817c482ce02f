package bench

import "time"

// Scenario is a load together with the faults that are injected under it.
type Scenario struct {
	// Name selects the scenario on the command line and heads its row of the
	// report.
	Name string
	// Load is the offered work as a share of the capacity of all slots.
	Load              float64
	misdeclaredMemory bool
	loadFactor        func(total time.Duration) func(time.Duration) float64
	scheduleFaults    func(*cluster)
}

// Scenarios returns the scenarios that are compared: four loads without faults,
// then the faults of the design page, at 80 % load or, if they affect a whole
// zone, at 60 %. A fault lasts for the middle third of a run, except for the load
// burst and the restarts.
func Scenarios() []Scenario {
	return []Scenario{
		{Name: "load 50", Load: 0.5},
		{Name: "load 80", Load: 0.8},
		{Name: "load 95", Load: 0.95},
		{Name: "load 120", Load: 1.2},
		{Name: "straggler", Load: 0.8, scheduleFaults: faultOnOneTarget(func(a *agent, on bool) {
			a.slowFactor = 1
			if on {
				a.slowFactor = 4
			}
		})},
		{Name: "wrong sizes", Load: 0.8, misdeclaredMemory: true},
		{Name: "burst", Load: 0.8, loadFactor: burst},
		{Name: "fails all", Load: 0.8, scheduleFaults: faultOnOneTarget(func(a *agent, on bool) { a.failing = on })},
		{Name: "refuses all", Load: 0.8, scheduleFaults: faultOnOneTarget(func(a *agent, on bool) {
			a.refuseShare = 0
			if on {
				a.refuseShare = 1
			}
		})},
		{Name: "zone fails", Load: 0.6, scheduleFaults: failZone},
		{Name: "bad inputs", Load: 0.8, scheduleFaults: failInputs},
		{Name: "hangs", Load: 0.8, scheduleFaults: faultOnOneTarget(func(a *agent, on bool) { a.hanging = on })},
		{Name: "zone lost", Load: 0.6, scheduleFaults: crashZone},
		{Name: "restarts", Load: 0.8, scheduleFaults: restartAll},
	}
}

// Configure returns cfg with the load and the faults of the scenario.
func (s Scenario) Configure(cfg Config) Config {
	cfg.Load, cfg.MisdeclaredMemory, cfg.ScheduleFaults = s.Load, s.misdeclaredMemory, s.scheduleFaults
	if s.loadFactor != nil {
		cfg.LoadFactor = s.loadFactor(cfg.Duration)
	}
	return cfg
}

// faultOnOneTarget sets a fault of target 3 for the middle third of the run.
func faultOnOneTarget(setFault func(a *agent, on bool)) func(*cluster) {
	return func(c *cluster) {
		a := c.agents[3]
		c.at(c.cfg.Duration/3, func() { setFault(a, true) })
		c.at(2*c.cfg.Duration/3, func() { setFault(a, false) })
	}
}

// burst triples the load for 5 s, beginning halfway through the run.
func burst(total time.Duration) func(time.Duration) float64 {
	return func(now time.Duration) float64 {
		if now > total/2 && now < total/2+5*time.Second {
			return 3
		}
		return 1
	}
}

// failZone makes every task on the targets of zone c fail. These are more targets
// than may be ejected at once.
func failZone(c *cluster) {
	for _, a := range c.agents {
		if a.zone == 2 {
			c.at(c.cfg.Duration/3, func() { a.failing = true })
			c.at(2*c.cfg.Duration/3, func() { a.failing = false })
		}
	}
}

// failInputs makes 60 % of all tasks fail, whichever target runs them.
func failInputs(c *cluster) {
	c.at(c.cfg.Duration/3, func() { c.failingInputShare = 0.6 })
	c.at(2*c.cfg.Duration/3, func() { c.failingInputShare = 0 })
}

// crashZone crashes the agents of zone c and starts them again after the fault.
func crashZone(c *cluster) {
	for _, a := range c.agents {
		if a.zone == 2 {
			c.at(c.cfg.Duration/3, a.crash)
			c.at(2*c.cfg.Duration/3, a.register)
		}
	}
}

// restartAll restarts the agents one after the other: each announces that it is
// leaving, finishes its tasks, and registers as a new incarnation 8 s later.
func restartAll(c *cluster) {
	const downTime = 8 * time.Second
	interval := (c.cfg.Duration - warmUp) / (targets + 1)
	for i, a := range c.agents {
		begin := warmUp + time.Duration(i)*interval
		c.at(begin, a.leave)
		c.at(begin+downTime, a.register)
	}
}
