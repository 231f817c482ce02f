package observe

import (
	"crypto/x509"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"
)

// certificateWarning is the remaining validity from which a certificate counts as
// expiring soon. A week leaves time to replace it outside of a weekend.
const certificateWarning = 7 * 24 * time.Hour

// Certificate reports the state of a process's own certificate as a gauge and as
// conditions. Without it, an expired or unreadable certificate would be noticed
// only at the next new connection, possibly long after the fault.
type Certificate struct {
	secondsLeft tally.Gauge
	unusable    *Condition
	expiring    *Condition
}

// Certificate returns a Certificate for which nothing has been reported yet.
func (o *Observer) Certificate() *Certificate {
	return &Certificate{secondsLeft: o.Metrics.Gauge(CertificateSecondsLeft),
		unusable: o.Condition("certificate_unusable"), expiring: o.Condition("certificate_expires_soon")}
}

// Report updates the gauge and the conditions. leaf is the certificate in use;
// reloadErr is why the last attempt to read a replacement failed, or nil.
func (c *Certificate) Report(now time.Time, leaf *x509.Certificate, reloadErr error) {
	left := leaf.NotAfter.Sub(now)
	c.secondsLeft.Update(left.Seconds())
	switch {
	case left <= 0:
		c.unusable.Begin(errors.Newf("own certificate expired at %s", leaf.NotAfter.Format(time.RFC3339)))
	case now.Before(leaf.NotBefore):
		c.unusable.Begin(errors.Newf("own certificate is not valid before %s", leaf.NotBefore.Format(time.RFC3339)))
	case reloadErr != nil:
		c.unusable.Begin(errors.Wrap(reloadErr, "the earlier certificate stays in use"))
	default:
		c.unusable.End()
	}
	if left > 0 && left < certificateWarning {
		c.expiring.Begin(errors.Newf("own certificate expires at %s", leaf.NotAfter.Format(time.RFC3339)))
		return
	}
	c.expiring.End()
}
