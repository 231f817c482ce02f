package entry

import (
	"time"

	"github.com/azurerouter/azurerouter/process/scheduler"
	"github.com/azurerouter/azurerouter/request/job"
	"github.com/azurerouter/azurerouter/version/config"
)

func schedulerSettings(s config.Service) scheduler.Settings {
	settings := scheduler.DefaultSettings()
	settings.QueueLimit = s.QueueLimit
	settings.RetryShare = float64(s.RetryBudgetPercent) / 100
	settings.BatchReserve = float64(s.BatchReservePercent) / 100
	if s.BatchReservePercent == 0 {
		settings.BatchReserve = -1 // zero stands for the default
	}
	settings.EjectShare = float64(s.Ejection.FailurePercent) / 100
	settings.EjectSamples = s.Ejection.MinAnswers
	settings.EjectZoneCap = float64(s.Ejection.MaxZonePercent) / 100
	settings.ProbeAfter = s.Ejection.ProbeAfter
	settings.ProbeMax = s.Ejection.ProbeMax
	return settings
}

func (c *Core) isConfigured() bool {
	c.servicesMu.RLock()
	defer c.servicesMu.RUnlock()
	return c.configured
}

// dedupeWindow is the window in force. After it was raised it grows only with
// the time that passes, because keys older than the earlier window may have
// been forgotten and would run again.
type dedupeWindow struct {
	window time.Duration
	// raisedAt and raisedFrom describe the last change to a longer window.
	raisedAt   time.Time
	raisedFrom time.Duration
}

func (w *dedupeWindow) set(now time.Time, window time.Duration) {
	current := w.at(now)
	if w.window != 0 && window > current {
		w.raisedAt, w.raisedFrom = now, current
	}
	w.window = window
}

func (w *dedupeWindow) at(now time.Time) time.Duration {
	if w.raisedAt.IsZero() {
		return w.window
	}
	return min(w.window, w.raisedFrom+now.Sub(w.raisedAt))
}

// ParseLimits returns the limits for submissions that arrive now.
func (c *Core) ParseLimits() job.Limits {
	now := c.env.Now()
	c.servicesMu.RLock()
	defer c.servicesMu.RUnlock()
	if !c.configured {
		// Core refuses as not ready; the body is checked all the same.
		return job.Limits{DedupeWindow: defaultLimits().DedupeWindow}
	}
	return job.Limits{DedupeWindow: c.window.at(now)}
}

// defaultLimits returns the limits of a configuration that names none.
func defaultLimits() config.Limits {
	merged, _ := config.Merge(nil)
	return merged.Config.Limits
}
