package quota_test

import (
	"fmt"
	"time"

	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/process/quota"
)

// Guards against a busy entry that does not borrow what an idle one can spare.
func Example() {
	now := time.Unix(0, 0)
	entries := []wire.Incarnation{1, 2}
	busy, idle := quota.New(now, 1), quota.New(now, 2)
	for _, shares := range []*quota.Shares{busy, idle} {
		shares.SetQuotas(map[string]quota.Quota{"flores": {Rate: 100, Burst: 100}})
		shares.SetEntries(now, entries)
	}
	for range 10 {
		now = now.Add(quota.ReportInterval)
		busy.Take(now, "flores", 45)
		idle.Receive(now, 1, busy.Report(now, 2))
		busy.Receive(now, 2, idle.Report(now, 1))
	}
	fmt.Printf("busy %.0f/s, idle %.0f/s\n", busy.Rate(now, "flores"), idle.Rate(now, "flores"))
	// Output: busy 90/s, idle 10/s
}
