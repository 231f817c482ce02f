package node

import (
	"bytes"
	"compress/flate"
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/azurerouter/azurerouter/process/observe"
	"github.com/azurerouter/azurerouter/version/routing"
)

const (
	// configCopies is how many copies of the configuration are kept, each in a
	// partition of its own: a store that has lost access to a third of its
	// partitions hides all of them about once in a hundred times.
	configCopies = 4
	// copyInterval is how often an entry looks whether the copies are behind.
	copyInterval = time.Second
	// recoverInterval is how often the copies are looked at. Nothing can be served
	// before one is read, so the next look does not wait for the one before: a
	// store that was silent is asked again soon after it is back.
	recoverInterval = 150 * time.Millisecond
	// copyTimeout bounds a look at the copies. A store that takes 60 times its
	// usual 4 ms still answers in this time.
	copyTimeout = 400 * time.Millisecond
	// maxConfigBytes bounds a decompressed configuration.
	maxConfigBytes = 16 << 20
)

// CopyStore keeps copies of the configuration beside the operator's record. They
// serve entries that start while the operator's partition is away and no other
// entry is left to ask.
type CopyStore interface {
	SaveCopy(ctx context.Context, copy int, data []byte) error
	// LoadCopy returns nil for a copy that was never saved.
	LoadCopy(ctx context.Context, copy int) ([]byte, error)
}

// saveCopies keeps the copies up to date. Of the connected entries only the one
// with the first name does so.
func (e *Entry) saveCopies(ctx context.Context) error {
	condition := e.observer.Condition("store_copies")
	var saved [configCopies]uint64
	return every(ctx, copyInterval, func() {
		table := e.Table()
		if table == nil || !e.hasFirstName() {
			return
		}
		data, err := packConfig(table.Config)
		for n := range saved {
			if err != nil || saved[n] >= table.Version {
				continue
			}
			if err = e.options.Copies.SaveCopy(ctx, n, data); err == nil {
				saved[n] = table.Version
			}
		}
		condition.Set(err)
	})
}

// hasFirstName reports whether no connected entry has a name before this one's.
func (e *Entry) hasFirstName() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for l := range e.peers {
		if l.name < e.options.Node {
			return false
		}
	}
	return true
}

// recoverConfig takes the newest copy while the operator's record can't be read
// and no other entry has told a configuration.
func (e *Entry) recoverConfig(ctx context.Context) error {
	recovery, cancel := context.WithCancel(ctx)
	defer cancel()
	condition := e.observer.Condition("store_copies_unread")
	err := every(recovery, recoverInterval, func() {
		if e.Table() != nil {
			cancel()
			return
		}
		if e.configUnread.Load() {
			go e.takeCopies(recovery, condition)
		}
	})
	condition.End()
	<-ctx.Done()
	return err
}

// takeCopies puts the newest copy that can be read in force.
func (e *Entry) takeCopies(ctx context.Context, condition *observe.Condition) {
	configs, err := e.loadCopies(ctx)
	for _, c := range configs {
		e.apply(c, "copy")
	}
	if err != nil && ctx.Err() == nil {
		condition.Begin(err)
	}
}

// loadCopies reads all copies at the same time, because those that are away may
// not answer at all. The error tells of all copies that could not be read.
func (e *Entry) loadCopies(ctx context.Context) ([]routing.Config, error) {
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	type copyRead struct {
		config *routing.Config
		err    error
	}
	read := make(chan copyRead, configCopies)
	for n := range configCopies {
		go func() {
			c, err := e.loadCopy(ctx, n)
			read <- copyRead{c, err}
		}()
	}
	var configs []routing.Config
	var failed error
	for range configCopies {
		r := <-read
		failed = errors.CombineErrors(failed, r.err)
		if r.config != nil {
			configs = append(configs, *r.config)
		}
	}
	return configs, failed
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

// packConfig encodes and compresses a configuration: one with many queues would
// not fit into a record of the store.
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
