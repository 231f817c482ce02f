package main

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// inForcePollInterval is the pause between two reads of the configuration offset of a
// process.
const inForcePollInterval = 20 * time.Millisecond

// awaitInForce waits until the processes at the admin addresses have a publication in
// force, and prints how long that took since its acceptance was read. The error names
// the first process that does not have it in force in time.
func (p *publisher) awaitInForce(ctx context.Context, admins []string, offset uint64) error {
	accepted := time.Now()
	errs := make([]error, len(admins))
	var waiters sync.WaitGroup
	for i, addr := range admins {
		waiters.Go(func() { errs[i] = awaitOffset(ctx, addr, offset) })
	}
	waiters.Wait()
	for i, err := range errs {
		if err != nil {
			return errors.Wrapf(err, "%s does not have offset %d in force", admins[i], offset)
		}
	}
	fmt.Fprintf(p.stdout, "in force in %d processes %v after its acceptance was read\n",
		len(admins), time.Since(accepted).Round(time.Millisecond))
	return nil
}

// awaitOffset polls the process at addr until its configuration has at least the offset.
func awaitOffset(ctx context.Context, addr string, offset uint64) error {
	for {
		var state struct {
			ConfigOffset uint64 `json:"config_offset"`
		}
		dump, err := readDump(ctx, addr)
		if err == nil {
			err = json.Unmarshal(dump.State, &state)
		}
		if err == nil && state.ConfigOffset >= offset {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.CombineErrors(ctx.Err(), err)
		case <-time.After(inForcePollInterval):
		}
	}
}
