package placement

import (
	"testing"
	"time"
)

// Guards against tasks that are started again and again although they are slow by nature,
// and against stragglers that are left alone although a new start helps.
func TestRestartsEndIfTheyDoNotPay(t *testing.T) {
	now := time.UnixMilli(1_000_000)
	var r Restarts
	for range 20 {
		r.Record(now, true)
	}
	if !r.Pay(now) {
		t.Error("20 restarts have paid, no more are made")
	}
	r = Restarts{}
	inVain := 0
	for r.Pay(now) {
		r.Record(now, false)
		inVain++
	}
	if inVain > 5 {
		t.Errorf("%d restarts in vain before they end, want 5 or fewer", inVain)
	}
	if !r.Pay(now.Add(10 * time.Minute)) {
		t.Error("restarts are not tried again")
	}
}
