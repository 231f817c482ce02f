package observe

import (
	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"

	"github.com/azurerouter/azurerouter/connection/intake"
)

var errClientsBounded = errors.New("requests or connections of clients were given up, because the bounds of the process were reached")

// IntakeMonitor exports the metrics of an intake.Intake and its condition.
type IntakeMonitor struct {
	intake       *intake.Intake
	scope        tally.Scope
	bytes, conns tally.Gauge
	condition    *Condition
	last         intake.Stats
}

// IntakeMonitor returns the monitor of a process's Intake.
func (o *Observer) IntakeMonitor(in *intake.Intake) *IntakeMonitor {
	return &IntakeMonitor{intake: in, scope: o.Metrics, bytes: o.Metrics.Gauge(IntakeBytes), conns: o.Metrics.Gauge(IntakeConnections),
		condition: o.Condition("clients_bounded")}
}

// Report updates the metrics. The condition is active if the bounds were reached since the last
// call. It must not be called concurrently.
func (m *IntakeMonitor) Report() {
	now := m.intake.Stats()
	m.bytes.Update(float64(now.Bytes))
	m.conns.Update(float64(now.Conns))
	bounded := false
	for _, c := range []struct {
		reason    string
		now, last uint64
	}{
		{"evicted", now.Evicted, m.last.Evicted}, {"no_room", now.Refused, m.last.Refused},
		{"closed", now.Closed, m.last.Closed}, {"rejected", now.Rejected, m.last.Rejected},
	} {
		m.count(c.reason, c.now-c.last)
		bounded = bounded || c.now > c.last
	}
	m.count("timeout", now.TimedOut-m.last.TimedOut)
	m.count("idle", now.Idle-m.last.Idle)
	m.last = now
	if bounded {
		m.condition.Begin(errors.Wrapf(errClientsBounded, "%d of %d bytes, %d connections", now.Bytes, now.Budget, now.Conns))
		return
	}
	m.condition.End()
}

func (m *IntakeMonitor) count(reason string, n uint64) {
	if n > 0 {
		m.scope.Tagged(map[string]string{TagReason: reason}).Counter(IntakeGivenUp).Inc(int64(n))
	}
}
