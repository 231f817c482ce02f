package bench

import "time"

// sampleTime is the interval at which busy slots are counted.
const sampleTime = 100 * time.Millisecond

// sample is the number of busy slots per target at one moment.
type sample [targets]int

func (c *cluster) sampleBusy() {
	if c.now < warmUp || c.now >= c.cfg.Duration {
		return
	}
	var s sample
	for i, a := range c.agents {
		s[i] = len(a.running)
	}
	c.busy = append(c.busy, s)
}
