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
	// snapshotRecords and snapshotInterval set when the next snapshot of the
	// configuration is due after the last one of any entry, whichever comes
	// first. The interval is a quarter of the retention that the default dedupe
	// window requires of the log.
	snapshotRecords  = 256
	snapshotInterval = 5 * time.Minute
	// snapshotSpread is the range of a random delay that keeps entries from
	// writing the same snapshot at once.
	snapshotSpread = 30 * time.Second
)

// follow reads a stream until the context ends. next returns the offset to read
// from, and apply handles a page.
func (d *Daemon) follow(ctx context.Context, stream string, next func() uint64, apply func(logclient.Page)) error {
	for ctx.Err() == nil {
		page, err := d.log.Read(ctx, stream, next(), maxPageRecords, longPollWait)
		if ctx.Err() != nil {
			break
		}
		d.recordLogAccess(observe.LogReads, stream, err)
		if err != nil {
			sleep(ctx, readRetryDelay)
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
		offset, immediate := d.core.NextClaimOffset()
		if offset == 0 {
			sleep(ctx, readRetryDelay)
			continue
		}
		wait := longPollWait
		if immediate {
			wait = 0
		}
		page, err := d.log.Read(ctx, ClaimsStream, offset, maxPageRecords, wait)
		if ctx.Err() != nil {
			break
		}
		d.recordLogAccess(observe.LogReads, ClaimsStream, err)
		if err != nil {
			sleep(ctx, readRetryDelay)
			continue
		}
		if err := d.core.ClaimRecords(page); err != nil {
			d.observer.Log.Warn().Str("step", "claims").Err(err).Msg("claim record skipped")
		}
	}
	return ctx.Err()
}

func (d *Daemon) followConfig(ctx context.Context) error {
	next := func() time.Time { return time.Now().Add(snapshotInterval + rand.N(snapshotSpread)) }
	due, lastOffset := next(), uint64(0)
	return d.follow(ctx, ConfigStream, d.nextConfigOffset, func(page logclient.Page) {
		d.applyConfigRecords(page)
		if offset := d.snapshotOffset(); offset != lastOffset {
			due, lastOffset = next(), offset
		}
		if d.snapshotDue(due, page) {
			d.writeSnapshot(ctx)
			due = next()
		}
	})
}

func (d *Daemon) snapshotOffset() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.config.SnapshotOffset()
}

func (d *Daemon) nextConfigOffset() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.config.Next()
}

// applyConfigRecords applies a page of the config stream to the state and
// activates the result.
func (d *Daemon) applyConfigRecords(page logclient.Page) {
	d.mu.Lock()
	before := d.config.Offset()
	for _, record := range page.Records {
		if record.Offset <= before {
			continue // already covered by the state of a peer
		}
		if _, err := d.config.Apply(record.Offset, page.First, record.Data); err != nil {
			d.reportConfigError("log", err)
		}
	}
	d.reportDeferred()
	changed := d.config.Offset() != before
	d.mu.Unlock()
	if changed || !d.core.isConfigured() {
		d.activateConfig()
	}
}

// restoreConfig takes over the configuration of another entry if it is newer.
func (d *Daemon) restoreConfig(from string, m *wire.Config) {
	files := make([]config.File, len(m.Files))
	for i, file := range m.Files {
		files[i] = config.File{Name: file.Name, Version: file.Version, Content: file.Content}
	}
	d.mu.Lock()
	err := d.config.RestoreFrom(m.Offset, files)
	if err == nil {
		d.reportDeferred()
	}
	d.mu.Unlock()
	var stale *config.OffsetError
	switch {
	case errors.As(err, &stale): // the peer has an older configuration
	case err != nil:
		d.reportConfigError(from, err)
	default:
		d.observer.Log.Info().Str("step", "config").Str("peer", from).Uint64("offset", m.Offset).Msg("configuration taken from a peer")
		d.activateConfig()
	}
}

// activateConfig merges the files of the current state and passes the result to
// Core and to the peers. Without any publication there is nothing to activate.
func (d *Daemon) activateConfig() {
	d.activeMu.Lock()
	defer d.activeMu.Unlock()
	d.mu.Lock()
	offset, files := d.config.Offset(), d.config.Files()
	if offset == d.activeOffset {
		d.mu.Unlock()
		return
	}
	if offset < d.activeOffset {
		d.mu.Unlock()
		d.observer.ReportViolation("G8", "config", "", fmt.Sprintf("configuration offset would decrease from %d to %d", d.activeOffset, offset))
		return
	}
	d.activeOffset = offset
	changed := newestVersion(files) != d.newestFileVersion
	d.newestFileVersion = newestVersion(files)
	merged, faults := config.Merge(files)
	d.faults, d.sources = faults, merged.SourceFiles
	d.mu.Unlock()
	d.core.Configure(merged.Config)
	d.core.SendConfig(offset, files)
	if !changed {
		return // a snapshot or a refused publication changes only the offset
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

// reportDeferred reports the errors of records that could not be checked until
// the state before them was known. The caller holds d.mu.
func (d *Daemon) reportDeferred() {
	for _, deferred := range d.config.DeferredResults() {
		if deferred.Err != nil {
			d.reportConfigError("log", deferred.Err)
		}
	}
}

func (d *Daemon) snapshotDue(due time.Time, page logclient.Page) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	behind := d.config.Offset() - min(d.config.Offset(), d.config.SnapshotOffset())
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
	// A lost response does no harm: a repeated snapshot has no effect.
	_, err = d.log.Append(ctx, ConfigStream, record)
	d.recordLogAccess(observe.LogAppends, ConfigStream, err)
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
			recordChanged, err := d.members.Apply(record.Offset, record.Time, record.Data)
			if err != nil {
				d.observer.Log.Warn().Str("step", "members").Uint64("offset", record.Offset).Err(err).Msg("membership record skipped")
			}
			changed = changed || recordChanged
		}
		d.mu.Unlock()
		if changed {
			d.sendMembers()
		}
	})
}

func (d *Daemon) restoreMembers(m *wire.Members) {
	d.mu.Lock()
	restored := d.members.Restore(m.Offset, m.Entries)
	d.mu.Unlock()
	if restored {
		d.sendMembers()
	}
}

// sendMembers sends the list of known entries to all peers and to Core. It
// contains the entries in the log, this entry, and the connected entries, which
// cannot announce themselves while the log is down.
func (d *Daemon) sendMembers() {
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
	d.core.SendMembers(m)
	ids := make([]wire.Incarnation, len(m.Entries))
	for i, entry := range m.Entries {
		ids[i] = entry.Incarnation
	}
	d.core.SetEntries(ids)
}

// announce repeats this entry's announcement, so that it is not lost when the
// log is trimmed.
func (d *Daemon) announce(ctx context.Context) error {
	d.sendMembers()
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
	d.recordLogAccess(observe.LogAppends, membership.Stream, err)
	return err
}
