package keeper

import "time"

// maxReadLag is how long the reader may be behind the end of the log while jobs that it
// has not read count as unknown. Callers expect an accepted job to be known after some
// seconds.
const maxReadLag = time.Second

// readState is what is known about the reading of the log. The zero value is that of a
// reader that has not read anything.
type readState struct {
	// caughtUp is set once the log has been read to its end.
	caughtUp bool
	// readableSince is the start of the current period without failed reads and
	// pauses of the process, or zero if the last read failed.
	readableSince time.Time
	// behindSince is since when the reader may lack records, or zero if it lacks only
	// those appended after its last read.
	behindSince time.Time
	// pagesToEnd is the number of pages that still have to reach the end of the log
	// until the reader is no longer behind.
	pagesToEnd int
}

// noteResult notes that a read has succeeded, or failed with err.
func (s *readState) noteResult(now time.Time, err error) {
	switch {
	case err != nil:
		s.readableSince = time.Time{}
		s.fallBehind(now, 1)
	case s.readableSince.IsZero():
		s.readableSince = now
	}
}

// notePage notes that a page was read. upToDate is Page.UpToDate.
func (s *readState) notePage(now time.Time, upToDate bool) {
	if !upToDate {
		s.fallBehind(now, 1)
		return
	}
	s.caughtUp = true
	s.pagesToEnd = max(s.pagesToEnd-1, 0)
	if s.pagesToEnd == 0 {
		s.behindSince = time.Time{}
	}
}

// notePause notes that the process did not run from a time until now. The next page may
// have been requested before, so that only the one after it counts.
func (s *readState) notePause(from, now time.Time) {
	if !s.readableSince.IsZero() {
		s.readableSince = now
	}
	s.fallBehind(from, 2)
}

func (s *readState) fallBehind(now time.Time, pages int) {
	if s.behindSince.IsZero() {
		s.behindSince = now
	}
	s.pagesToEnd = max(s.pagesToEnd, pages)
}

// isCurrent reports whether the reader lacks only the records that were appended after
// its last read.
func (s *readState) isCurrent() bool {
	return s.caughtUp && !s.readableSince.IsZero() && s.behindSince.IsZero()
}

// lagsAtMost reports whether the reader lacks only records of the time since its last
// read and of a lag before it.
func (s *readState) lagsAtMost(now time.Time, lag time.Duration) bool {
	return s.isCurrent() || s.caughtUp && !s.readableSince.IsZero() && now.Sub(s.behindSince) <= lag
}
