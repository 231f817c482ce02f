package node

import (
	"bytes"
	"compress/flate"
	"context"
	"io"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/azurerouter/azurerouter/process/observe"
	"github.com/azurerouter/azurerouter/version/routing"
)

const (
	// configCopies is the number of copies of the configuration, each in a
	// partition of its own. If the store has lost access to a third of its
	// partitions, all copies are unavailable in about one case in a hundred.
	configCopies = 4
	// copyCheckInterval is how often an entry checks whether the copies are older
	// than its configuration.
	copyCheckInterval = time.Second
	// copyReadInterval is how often the copies are read while no configuration is
	// known. Nothing can be served before one has been read, so a read does not
	// wait for the end of the one before: a store that did not respond is read
	// again soon after it has recovered.
	copyReadInterval = 150 * time.Millisecond
	// copyReadTimeout limits one read of all copies. A store that takes 60 times
	// its usual 4 ms still answers in this time.
	copyReadTimeout = 400 * time.Millisecond
	// maxConfigBytes limits a decompressed configuration.
	maxConfigBytes = 16 << 20
)

// CopyStore stores copies of the configuration besides the record that the operator
// publishes. An entry needs them if it starts while the partition with the
// operator's record is unavailable and no other entry is running that could send
// the configuration.
type CopyStore interface {
	// SaveCopy replaces the copy with the given number, unless a newer version has been
	// saved: then it has no effect, also if the store carries it out late. It returns
	// nil if the copy has this version or a newer one.
	SaveCopy(ctx context.Context, number int, version uint64, data []byte) error
	// LoadCopy returns the copy with the given number, or nil if it was never saved.
	LoadCopy(ctx context.Context, number int) ([]byte, error)
}

// saveCopies keeps the copies up to date. Among connected entries only the one with
// the lowest name writes them.
func (e *Entry) saveCopies(ctx context.Context) error {
	condition := e.observer.Condition("store_copies")
	var saved [configCopies]uint64
	return runEvery(ctx, copyCheckInterval, func() {
		table := e.RoutingTable()
		if table == nil || !e.hasLowestName() {
			return
		}
		if slices.Min(saved[:]) >= table.Version {
			// To pack the configuration allocates a megabyte.
			condition.Set(nil)
			return
		}
		data, err := packConfig(table.Config)
		for n := range saved {
			if err != nil || saved[n] >= table.Version {
				continue
			}
			if err = e.options.Copies.SaveCopy(ctx, n, table.Version, data); err == nil {
				saved[n] = table.Version
			}
		}
		condition.Set(err)
	})
}

// hasLowestName reports whether no connected entry has a name that sorts before the
// name of this one.
func (e *Entry) hasLowestName() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for l := range e.peers {
		if l.name < e.options.Node {
			return false
		}
	}
	return true
}

// recoverConfig reads the copies while the operator's record cannot be read, until
// a configuration is in force, from a copy or from another entry.
func (e *Entry) recoverConfig(ctx context.Context) error {
	recovery, cancel := context.WithCancel(ctx)
	defer cancel()
	condition := e.observer.Condition("store_copies_unread")
	err := runEvery(recovery, copyReadInterval, func() {
		if e.RoutingTable() != nil {
			cancel()
			return
		}
		if e.configUnreadable.Load() {
			go e.applyCopies(recovery, condition)
		}
	})
	condition.End()
	<-ctx.Done()
	return err
}

// applyCopies reads the copies and puts the newest readable one in force.
func (e *Entry) applyCopies(ctx context.Context, condition *observe.Condition) {
	configs, err := e.loadCopies(ctx)
	for _, c := range configs {
		e.applyConfig(c, "copy")
	}
	if err != nil && ctx.Err() == nil {
		condition.Begin(err)
	}
}

// loadCopies reads all copies concurrently, because a read from an unavailable
// partition may not return before the timeout. It returns the copies that it could
// read and the combined errors of the others.
func (e *Entry) loadCopies(ctx context.Context) ([]routing.Config, error) {
	ctx, cancel := context.WithTimeout(ctx, copyReadTimeout)
	defer cancel()
	type result struct {
		config *routing.Config
		err    error
	}
	results := make(chan result, configCopies)
	for n := range configCopies {
		go func() {
			c, err := e.loadCopy(ctx, n)
			results <- result{c, err}
		}()
	}
	var configs []routing.Config
	var combined error
	for range configCopies {
		r := <-results
		combined = errors.CombineErrors(combined, r.err)
		if r.config != nil {
			configs = append(configs, *r.config)
		}
	}
	return configs, combined
}

// loadCopy returns nil for a copy that was never saved.
func (e *Entry) loadCopy(ctx context.Context, n int) (*routing.Config, error) {
	data, err := e.options.Copies.LoadCopy(ctx, n)
	if err != nil || data == nil {
		return nil, errors.Wrapf(err, "copy %d of the configuration", n)
	}
	c, err := unpackConfig(data)
	return c, errors.Wrapf(err, "copy %d of the configuration", n)
}

// packConfig encodes and compresses a configuration, because one with many queues
// would not fit into a record of the store without compression.
func packConfig(c routing.Config) ([]byte, error) {
	data, err := cbor.Marshal(c)
	if err != nil {
		return nil, errors.Wrap(err, "encode configuration")
	}
	var packed bytes.Buffer
	w, err := flate.NewWriter(&packed, flate.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "compress configuration")
	}
	if _, err := w.Write(data); err != nil {
		return nil, errors.Wrap(err, "compress configuration")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "compress configuration")
	}
	return packed.Bytes(), nil
}

// unpackConfig reverses packConfig.
func unpackConfig(packed []byte) (*routing.Config, error) {
	data, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxConfigBytes))
	if err != nil {
		return nil, errors.Wrap(err, "decompress configuration")
	}
	c := &routing.Config{}
	if err := cbor.Unmarshal(data, c); err != nil {
		return nil, errors.Wrap(err, "decode configuration")
	}
	return c, nil
}
