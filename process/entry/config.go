package entry

import (
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
		settings.BatchReserve = -1 // no reserve; the scheduler replaces zero by its default
	}
	settings.BatchSpread = float64(s.BatchSpreadPercent) / 100
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

// ParseLimits returns the limits for parsing submissions.
func (c *Core) ParseLimits() job.Limits {
	c.servicesMu.RLock()
	limits, configured := c.limits, c.configured
	c.servicesMu.RUnlock()
	if !configured {
		// Submit refuses the submission as not ready, but its body is checked
		// all the same.
		return job.Limits{DedupeWindow: defaultLimits().DedupeWindow}
	}
	return job.Limits{DedupeWindow: min(limits.DedupeWindow, c.claims.keyWindow())}
}

// defaultLimits returns the limits of a configuration that sets none.
func defaultLimits() config.Limits {
	merged, _ := config.Merge(nil)
	return merged.Config.Limits
}
