package observe

import (
	"sync"
	"time"
)

// maxKeptViolations is the number of violations that are kept for the dump. The
// metric InvariantViolations counts all of them.
const maxKeptViolations = 20

// Violation is one violated assertion of a guarantee.
type Violation struct {
	Time      time.Time `json:"time"`
	Guarantee string    `json:"guarantee"`
	Step      string    `json:"step"`
	Peer      string    `json:"peer,omitempty"`
	Detail    string    `json:"detail"`
}

// violations holds the latest violations and the number of all violations by
// guarantee.
type violations struct {
	mu    sync.Mutex
	last  []Violation
	count map[string]uint64
}

// ReportViolation counts and logs a violated assertion of a guarantee (G1 to G8)
// and keeps it for the dump. The caller must not continue the affected request.
func (o *Observer) ReportViolation(guarantee, step, peer, detail string) {
	v := Violation{Time: time.Now(), Guarantee: guarantee, Step: step, Peer: peer, Detail: detail}
	o.violations.add(v)
	o.Metrics.Tagged(map[string]string{TagGuarantee: guarantee}).Counter(InvariantViolations).Inc(1)
	o.Log.Error().Str("guarantee", guarantee).Str("step", step).Str("peer", peer).Str("detail", detail).
		Msg("guarantee violated")
}

// Violations returns the latest violations, oldest first, and the number of all
// violations by guarantee.
func (o *Observer) Violations() ([]Violation, map[string]uint64) {
	return o.violations.snapshot()
}

func (v *violations) add(violation Violation) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.count == nil {
		v.count = make(map[string]uint64)
	}
	v.count[violation.Guarantee]++
	if len(v.last) == maxKeptViolations {
		copy(v.last, v.last[1:])
		v.last = v.last[:maxKeptViolations-1]
	}
	v.last = append(v.last, violation)
}

func (v *violations) snapshot() ([]Violation, map[string]uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	last := append([]Violation{}, v.last...)
	count := make(map[string]uint64, len(v.count))
	for guarantee, n := range v.count {
		count[guarantee] = n
	}
	return last, count
}
