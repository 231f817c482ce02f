// Package overload decides whether a process has the processor time for another request.
// It reads no clock and no counter of the system: the caller passes measurements to it.
//
// The load that it addresses is a lasting one above what the process can carry, of which
// it serves the part that it can. It limits the rate of admitted requests: the limit falls
// while the passes of the process are late and rises while they are not, so that it is
// tested all the time, and it ends once it rejects nothing.
package overload

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/azurerouter/azurerouter/process/runqueue"
)

// Parameters of the decision.
const (
	// window is the shortest time over which measurements are judged. It is shorter than
	// the pause between two renewals of a session.
	window = 100 * time.Millisecond
	// longWait is the mean wait of goroutines for a processor above which a window counts
	// as late. A request waits several times on its way. Whatever takes the processor time
	// shows in it, while passes are served before what waits.
	longWait = 10 * time.Millisecond
	// lateForWaits is the time of successive windows with long waits after which the process
	// counts as short. One that needs less than its share uses it up in single slices of
	// 100 ms and is late once for it.
	lateForWaits = 190 * time.Millisecond
	// latePass is the mean delay of the passes above which a window counts as late without
	// long waits, and windowsOfPasses the number of successive ones after which the process
	// counts as short. A machine with other work delays passes for short times.
	latePass        = 50 * time.Millisecond
	windowsOfPasses = 3
	// firstCut times the admitted rate is the first limit, because the work admitted before
	// is still to be done. severeCut is for windows in which sessions are not renewed in
	// time, laterCut for those with waits above moderateWait, and smallCut for others.
	firstCut  = 0.5
	severeCut = 0.5
	laterCut  = 0.8
	smallCut  = 0.95
	// severeDelay is the mean delay of the passes, or wait, above which sessions are not
	// renewed in time.
	severeDelay  = 150 * time.Millisecond
	moderateWait = 30 * time.Millisecond
	// growth times the limit is the limit after a window that was not late, fastGrowth after
	// one with waits below shortWait, in which nothing was left to do. A limit that was wrong
	// reaches 500 requests per second from minRate within 2 s.
	growth     = 1.05
	fastGrowth = 1.3
	shortWait  = time.Millisecond
	// minRate is the lowest limit, in requests per second.
	minRate = 5.0
	// endAfter is the time without a late window and without a rejection after which the
	// limit ends.
	endAfter = time.Second
	// lastingAfter is the time after which a shortage counts as lasting, relievedAfter the
	// time after its end in which it still does. A load balancer that checks once a second
	// takes a process out of rotation after two failed checks.
	lastingAfter  = 1500 * time.Millisecond
	relievedAfter = 3 * time.Second
)

// Sample is a measurement, taken with each pass of the process.
type Sample struct {
	Now time.Time
	// Used is the processor time that the process has used since its start.
	Used time.Duration
	// Delay is how late the pass is.
	Delay time.Duration
	// Waits are the waits of goroutines for a processor since the start of the process.
	Waits runqueue.Totals
}

// Verdict is the state of the decision with its inputs.
type Verdict struct {
	// Limited is set while requests above Limit, in requests per second, are rejected.
	Limited bool
	Limit   float64
	// MeanDelay is the mean delay of the passes, MeanWait the mean wait of goroutines for a
	// processor, Use the used part of the share, or 0 if the share is not known, and
	// Admitted the admitted requests per second, each over the last window.
	MeanDelay time.Duration
	MeanWait  time.Duration
	Use       float64
	Admitted  float64
	// Rejected counts the rejections since the limit began.
	Rejected uint64
}

// Guard holds the decision of one process. It is safe for concurrent use.
type Guard struct {
	cores float64
	// limited is set while there is a limit, so that Admit takes no lock otherwise.
	limited  atomic.Bool
	admitted atomic.Uint64

	mu sync.Mutex
	// The fields up to admittedBefore describe the current window.
	start          Sample
	passes         int
	late           time.Duration
	admittedBefore uint64
	// latePasses counts the successive windows with late passes, waitsFor is the time of
	// those with long waits.
	latePasses int
	waitsFor   time.Duration
	// previous is the verdict on the window before.
	previous Verdict

	verdict Verdict
	// tokens are the requests that may be admitted at once, as of tokensAt.
	tokens   float64
	tokensAt time.Time
	// since is when the limit began, quietSince when the last late window or rejection
	// was, and endedAt when the last limit ended that had lasted.
	since, quietSince, endedAt time.Time
}

// NewGuard returns a guard of a process that has the given number of cores, or 0 if that
// is not known.
func NewGuard(cores float64) *Guard { return &Guard{cores: cores} }

// Observe takes a measurement into account. It returns the verdict, and whether a limit
// has begun or ended with it.
func (g *Guard) Observe(s Sample) (v Verdict, changed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.start.Now.IsZero() {
		g.startWindow(s)
		return g.verdict, false
	}
	g.passes++
	g.late += max(s.Delay, 0)
	if s.Now.Sub(g.start.Now) < window {
		return g.verdict, false
	}
	before := g.verdict.Limited
	short := g.judgeWindow(s)
	g.adjust(s.Now, short)
	g.startWindow(s)
	return g.verdict, g.verdict.Limited != before
}

func (g *Guard) startWindow(s Sample) {
	g.start, g.passes, g.late, g.admittedBefore = s, 0, 0, g.admitted.Load()
}

// judgeWindow sets the inputs of the verdict and reports whether the process is short of
// processor time.
func (g *Guard) judgeWindow(s Sample) bool {
	elapsed := s.Now.Sub(g.start.Now).Seconds()
	g.previous = g.verdict
	g.verdict.MeanDelay = g.late / time.Duration(g.passes)
	g.verdict.MeanWait = s.Waits.MeanSince(g.start.Waits)
	g.verdict.Admitted = float64(g.admitted.Load()-g.admittedBefore) / elapsed
	g.verdict.Use = 0
	if g.cores > 0 {
		g.verdict.Use = (s.Used - g.start.Used).Seconds() / elapsed / g.cores
	}
	if g.verdict.MeanDelay < latePass {
		g.latePasses = 0
	} else {
		g.latePasses++
	}
	if g.verdict.MeanWait < longWait {
		g.waitsFor = 0
	} else {
		g.waitsFor += s.Now.Sub(g.start.Now)
	}
	if g.verdict.Limited && g.waitsFor > 0 {
		return true
	}
	return g.waitsFor >= lateForWaits || g.latePasses >= windowsOfPasses
}

// firstLimit returns the limit with which the rejections begin.
func (g *Guard) firstLimit() float64 { return max(minRate, firstCut*g.verdict.Admitted) }

// recovers reports whether the process is less late than in the window before: it does what
// was admitted earlier, and another cut would leave it idle afterwards.
func (g *Guard) recovers() bool {
	return g.verdict.MeanWait < g.previous.MeanWait && g.verdict.MeanDelay <= max(g.previous.MeanDelay, latePass)
}

// nextLimit returns the limit after a late window with a limit.
func (g *Guard) nextLimit() float64 {
	v := &g.verdict
	if g.recovers() {
		return v.Limit
	}
	cut := smallCut
	switch {
	case v.MeanDelay > severeDelay || v.MeanWait > severeDelay:
		cut = severeCut
	case v.MeanDelay > latePass || v.MeanWait > moderateWait:
		cut = laterCut
	}
	return max(minRate, cut*min(v.Limit, max(v.Admitted, minRate)))
}

// adjust sets the limit after a window. A process that admits no more than the lowest limit
// is late for another reason than its requests.
func (g *Guard) adjust(now time.Time, short bool) {
	v := &g.verdict
	switch {
	case short && !v.Limited && v.Admitted > minRate:
		v.Limited, v.Limit, v.Rejected = true, g.firstLimit(), 0
		g.since, g.quietSince, g.tokens, g.tokensAt = now, now, 0, now
		g.limited.Store(true)
	case short && v.Limited:
		v.Limit = g.nextLimit()
		g.quietSince = now
	case v.Limited && now.Sub(g.quietSince) >= endAfter:
		if g.lasts(now) {
			g.endedAt = now
		}
		v.Limited = false
		g.limited.Store(false)
	case v.Limited && v.MeanWait < shortWait:
		v.Limit *= fastGrowth
	case v.Limited:
		v.Limit *= growth
	}
}

// Limited reports whether there is a limit.
func (g *Guard) Limited() bool { return g.limited.Load() }

// Count counts a request that is admitted in any case.
func (g *Guard) Count() { g.admitted.Add(1) }

// Admit reports whether the process can carry another request, and counts it if so.
func (g *Guard) Admit(now time.Time) bool {
	if !g.Limited() {
		g.Count()
		return true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.verdict.Limited && !g.takeToken(now) {
		g.verdict.Rejected++
		g.quietSince = now
		return false
	}
	g.Count()
	return true
}

// takeToken takes one of the requests that the limit allows up to now, of which those of
// one window may come at once.
func (g *Guard) takeToken(now time.Time) bool {
	most := max(1, g.verdict.Limit*window.Seconds())
	g.tokens = min(most, g.tokens+g.verdict.Limit*max(now.Sub(g.tokensAt), 0).Seconds())
	g.tokensAt = now
	if g.tokens < 1 {
		return false
	}
	g.tokens--
	return true
}

// Lasting reports whether the process has been short of processor time for so long, or was
// until so recently, that it should get no new connections.
func (g *Guard) Lasting(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.verdict.Limited {
		return g.lasts(now)
	}
	return !g.endedAt.IsZero() && now.Sub(g.endedAt) < relievedAfter
}

// lasts reports whether the present limit counts as lasting. One that begins soon after the
// end of another goes on with it.
func (g *Guard) lasts(now time.Time) bool {
	resumed := !g.endedAt.IsZero() && g.since.Sub(g.endedAt) < relievedAfter
	return resumed || now.Sub(g.since) >= lastingAfter
}
