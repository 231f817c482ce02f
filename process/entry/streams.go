package entry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/azurerouter/azurerouter/connection/logclient"
	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/process/membership"
	"github.com/azurerouter/azurerouter/process/observe"
	"github.com/azurerouter/azurerouter/version/config"
)

// Names of log streams. The third one is membership.Stream.
const (
	// ConfigStream carries the published configuration.
	ConfigStream = "config"
	// ClaimsStream carries the claims of submission keys.
	ClaimsStream = "claims"
)

const (
	// snapshotRecords and snapshotInterval say when a snapshot of the
	// configuration is due after the last one of any entry, whichever comes
	// first. The interval is a quarter of the retention that the default
	// dedupe window asks of the log.
	snapshotRecords  = 256
	snapshotInterval = 5 * time.Minute
	// snapshotSpread keeps entries from writing the same snapshot at once.
	snapshotSpread = 30 * time.Second
)

// follow reads a stream for ever. apply takes a page and returns the offset to
// read next.
func (d *Daemon) follow(ctx context.Context, stream string, next func() uint64, apply func(logclient.Page)) error {
	for ctx.Err() == nil {
		page, err := d.log.Read(ctx, stream, next(), followMax, followWait)
		if ctx.Err() != nil {
			break
		}
		d.noteLog(observe.LogReads, stream, err)
		if err != nil {
			sleep(ctx, followRetry)
			continue
		}
		apply(page)
	}
	return ctx.Err()
}

func sleep(ctx context.Context, wait time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
}

func (d *Daemon) followClaims(ctx context.Context) error {
	for ctx.Err() == nil {
		offset, atOnce := d.core.NextClaim()
		if offset == 0 {
			sleep(ctx, followRetry)
			continue
		}
		wait := followWait
		if atOnce {
			wait = 0
		}
		page, err := d.log.Read(ctx, ClaimsStream, offset, followMax, wait)
		if ctx.Err() != nil {
			break
		}
		d.noteLog(observe.LogReads, ClaimsStream, err)
		if err != nil {
			sleep(ctx, followRetry)
			continue
		}
		if err := d.core.ClaimRecords(page); err != nil {
			d.observer.Log.Warn().Str("step", "claims").Err(err).Msg("record skipped")
		}
	}
	return ctx.Err()
}

func (d *Daemon) followConfig(ctx context.Context) error {
	next := func() time.Time { return time.Now().Add(snapshotInterval + rand.N(snapshotSpread)) }
	due, seen := next(), uint64(0)
	return d.follow(ctx, ConfigStream, d.nextConfig, func(page logclient.Page) {
		d.applyConfig(page)
		if upTo := d.snapshotUpTo(); upTo != seen {
			due, seen = next(), upTo
		}
		if d.snapshotDue(due, page) {
			d.writeSnapshot(ctx)
			due = next()
		}
	})
}

func (d *Daemon) snapshotUpTo() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.config.SnapshotUpTo()
}

func (d *Daemon) nextConfig() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.config.Next()
}

// applyConfig folds a page of the config stream and puts the result in force.
func (d *Daemon) applyConfig(page logclient.Page) {
	d.mu.Lock()
	before := d.config.Offset()
	for _, record := range page.Records {
		if record.Offset <= before {
			continue // a peer's state overtook this page
		}
		if _, err := d.config.Apply(record.Offset, page.First, record.Data); err != nil {
			d.configError("log", err)
		}
	}
	d.checkDeferred()
	changed := d.config.Offset() != before
	d.mu.Unlock()
	if changed || !d.core.isConfigured() {
		d.putInForce()
	}
}

// restoreConfig takes over the configuration of another entry, if it is newer.
func (d *Daemon) restoreConfig(from string, m *wire.Config) {
	files := make([]config.File, len(m.Files))
	for i, file := range m.Files {
		files[i] = config.File{Name: file.Name, Version: file.Version, Content: file.Content}
	}
	d.mu.Lock()
	err := d.config.RestoreFrom(m.Offset, files)
	if err == nil {
		d.checkDeferred()
	}
	d.mu.Unlock()
	var older *config.OffsetError
	switch {
	case errors.As(err, &older): // the peer is behind
	case err != nil:
		d.configError(from, err)
	default:
		d.observer.Log.Info().Str("step", "config").Str("peer", from).Uint64("offset", m.Offset).Msg("configuration taken from a peer")
		d.putInForce()
	}
}

// putInForce merges the files and hands the result to Core and to the peers. An
// entry without any publication has nothing to put in force.
func (d *Daemon) putInForce() {
	d.forceMu.Lock()
	defer d.forceMu.Unlock()
	d.mu.Lock()
	offset, files := d.config.Offset(), d.config.Files()
	if offset == d.inForce {
		d.mu.Unlock()
		return
	}
	if offset < d.inForce {
		d.mu.Unlock()
		d.observer.Violated("G8", "config", "", fmt.Sprintf("configuration would step back from %d to %d", d.inForce, offset))
		return
	}
	d.inForce = offset
	changed := newestVersion(files) != d.newest
	d.newest = newestVersion(files)
	merged, faults := config.Merge(files)
	d.faults, d.sources = faults, merged.Source
	d.mu.Unlock()
	d.core.Configure(merged.Config)
	d.core.PushConfig(offset, files)
	if !changed {
		return // a snapshot or a refused publication moved the offset alone
	}
	d.observer.Log.Info().Str("step", "config").Uint64("offset", offset).Int("faults", len(faults)).Msg("configuration in force")
}

// newestVersion returns the offset of the last change of any file.
func newestVersion(files []config.File) uint64 {
	newest := uint64(0)
	for _, file := range files {
		newest = max(newest, file.Version)
	}
	return newest
}

// checkDeferred reports what was wrong in records that were held back until the
// state before them was known. It needs d.mu.
func (d *Daemon) checkDeferred() {
	for _, judgement := range d.config.Deferred() {
		if judgement.Err != nil {
			d.configError("log", judgement.Err)
		}
	}
}

func (d *Daemon) snapshotDue(due time.Time, page logclient.Page) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	behind := d.config.Offset() - min(d.config.Offset(), d.config.SnapshotUpTo())
	caughtUp := d.config.Next() >= page.Next
	return caughtUp && behind > 0 && (behind >= snapshotRecords || time.Now().After(due))
}

func (d *Daemon) writeSnapshot(ctx context.Context) {
	d.mu.Lock()
	record, err := d.config.EncodeSnapshot()
	d.mu.Unlock()
	if err != nil {
		d.observer.Log.Error().Str("step", "snapshot").Err(err).Msg("configuration snapshot cannot be encoded")
		return
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	// A lost response does no harm: a second snapshot has no effect.
	_, err = d.log.Append(ctx, ConfigStream, record)
	d.noteLog(observe.LogAppends, ConfigStream, err)
}

func (d *Daemon) followMembers(ctx context.Context) error {
	next := func() uint64 {
		d.mu.Lock()
		defer d.mu.Unlock()
		return d.members.Offset() + 1
	}
	return d.follow(ctx, membership.Stream, next, func(page logclient.Page) {
		changed := false
		d.mu.Lock()
		for _, record := range page.Records {
			c, err := d.members.Apply(record.Offset, record.Time, record.Data)
			if err != nil {
				d.observer.Log.Warn().Str("step", "members").Uint64("offset", record.Offset).Err(err).Msg("record skipped")
			}
			changed = changed || c
		}
		d.mu.Unlock()
		if changed {
			d.pushMembers()
		}
	})
}

func (d *Daemon) restoreMembers(m *wire.Members) {
	d.mu.Lock()
	restored := d.members.Restore(m.Offset, m.Entries)
	d.mu.Unlock()
	if restored {
		d.pushMembers()
	}
}

// pushMembers passes on the entries of the log, this one, and those connected
// that could not announce themselves while the log is down.
func (d *Daemon) pushMembers() {
	self := wire.EntryAddress{Incarnation: d.self, Name: d.settings.Name, Zone: d.settings.Zone, PeerAddr: d.settings.PeerAddr}
	d.mu.Lock()
	byName := map[string]wire.EntryAddress{}
	for _, entry := range d.members.List() {
		byName[entry.Name] = entry
	}
	for _, conn := range d.entries {
		p := conn.Peer
		byName[p.Name] = wire.EntryAddress{Incarnation: p.Incarnation, Name: p.Name, Zone: p.Zone, PeerAddr: p.PeerAddr}
	}
	byName[self.Name] = self
	m := &wire.Members{Offset: d.members.Offset()}
	for _, entry := range byName {
		m.Entries = append(m.Entries, entry)
	}
	d.mu.Unlock()
	d.core.PushMembers(m)
	ids := make([]wire.Incarnation, len(m.Entries))
	for i, entry := range m.Entries {
		ids[i] = entry.Incarnation
	}
	d.core.SetEntries(ids)
}

// announce repeats this entry's announcement, so that it is not trimmed.
func (d *Daemon) announce(ctx context.Context) error {
	d.pushMembers()
	for ctx.Err() == nil {
		wait := membership.AnnounceInterval
		if !d.core.draining.Load() && d.appendAnnouncement(ctx, false) != nil {
			wait = time.Second
		}
		sleep(ctx, wait)
	}
	return ctx.Err()
}

func (d *Daemon) announceStop(ctx context.Context) { d.appendAnnouncement(ctx, true) }

func (d *Daemon) appendAnnouncement(ctx context.Context, stopped bool) error {
	record, err := membership.Encode(membership.Announcement{Stopped: stopped, Entry: wire.EntryAddress{
		Incarnation: d.self, Name: d.settings.Name, Zone: d.settings.Zone, PeerAddr: d.settings.PeerAddr}})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, err = d.log.Append(ctx, membership.Stream, record)
	d.noteLog(observe.LogAppends, membership.Stream, err)
	return err
}
