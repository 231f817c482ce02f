package observe

import (
	"context"
	"crypto/x509"
	"errors"
	"testing"
	"time"
)

// Guards against a missing log line when the certificate of the process is not yet
// valid, expires soon, has expired or cannot be reloaded, and against a line for
// every report instead of one.
func TestCertificateReport(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	leaf := &x509.Certificate{NotBefore: start, NotAfter: start.Add(90 * 24 * time.Hour)}
	log := &logBuffer{}
	o := New("agent-1", log)
	defer o.Close()
	certificate := o.Certificate()
	for _, step := range []struct {
		now       time.Time
		reloadErr error
		message   string
	}{
		{start.Add(-time.Hour), nil, "own certificate is not valid before 2026-01-01T00:00:00Z"},
		{start.Add(time.Hour), errors.New("no PEM"), "the earlier certificate stays in use: no PEM"},
		{leaf.NotAfter.Add(-certificateWarning + time.Hour), nil, "own certificate expires at 2026-04-01T00:00:00Z"},
		{leaf.NotAfter.Add(time.Hour), nil, "own certificate expired at 2026-04-01T00:00:00Z"},
	} {
		certificate.Report(start.Add(time.Hour), leaf, nil)
		certificate.Report(step.now, leaf, step.reloadErr)
		certificate.Report(step.now, leaf, step.reloadErr)
		if got := log.count(step.message); got != 1 {
			t.Errorf("%q is logged %d times, want once", step.message, got)
		}
	}
}

// Guards against three faults: a reachable address ends the condition of an
// unreachable one, the condition stays active for an address that is no longer
// dialled, or it starts for a dial that was cancelled because the process ends.
func TestUnreachableTracksEachAddress(t *testing.T) {
	log := &logBuffer{}
	o := New("agent-1", log)
	defer o.Close()
	u := o.Unreachable("entry_unreachable")
	for range 2 {
		u.Failed("10.0.0.1:9", errors.New("refused"))
		u.Failed("10.0.0.2:9", errors.New("refused"))
	}
	u.Failed("10.0.0.3:9", errors.Join(errors.New("dial"), context.Canceled))
	u.EndExcept([]string{"10.0.0.2:9"})
	if started, ended := log.count("condition started"), log.count("condition ended"); started != 2 || ended != 1 {
		t.Errorf("%d starts and %d ends logged, want 2 and 1", started, ended)
	}
	u.EndExcept(nil)
	if ended := log.count("condition ended"); ended != 2 {
		t.Errorf("%d ends logged, want 2", ended)
	}
}
