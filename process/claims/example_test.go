package claims_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/process/claims"
	"github.com/azurerouter/azurerouter/request/job"
)

// A claim of an unclaimed key is won as soon as its record is appended.
func ExampleCommitter() {
	const window = 10 * time.Minute
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	committer := claims.NewCommitter(1, claims.NewTable(window), window)
	pair := claims.Pair{Key: job.HashKey("team", "card", "order-17"), Digest: job.Digest{1}}
	committer.Add(now, claims.Claim{Pair: pair, SubmittedAt: now})

	batch, _ := committer.NextBatch(now, rand.New(rand.NewPCG(1, 2)))
	fmt.Println("claims in the batch:", batch.Size)
	// The batch is appended to the log, which returns the offset.
	for _, decision := range committer.HandleAppendResult(now, batch.Nonce, 1, nil) {
		fmt.Println("won:", decision.Result == claims.Won)
	}
	// Output:
	// claims in the batch: 1
	// won: true
}

// Of two entries that claim the same key, the first in log order is the owner.
func ExampleTable() {
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	table := claims.NewTable(10 * time.Minute)
	pair := claims.Pair{Key: job.HashKey("team", "card", "order-17")}
	for offset, entry := range []wire.Incarnation{5, 6} {
		data, _ := claims.EncodeRecord(claims.Record{Entry: entry, Nonce: 1, Pairs: []claims.Pair{pair}})
		if _, err := table.Apply(uint64(offset+1), now, data); err != nil {
			fmt.Println(err)
		}
	}
	owner, ok := table.Owner(pair.Key)
	fmt.Println(owner.Entry, ok)
	// Output: 0000000000000005 true
}
