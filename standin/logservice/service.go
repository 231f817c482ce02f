// Package logservice is an in-memory stand-in for the platform's append-only log
// service. POST /control switches faults on and off.
package logservice

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	maxRecordBytes = 1 << 20
	// maxPageBytes limits the data of a page. The record that exceeds it is the
	// last one, so a page holds at least one record.
	maxPageBytes   = 4 << 20
	maxPageRecords = 10_000
	maxReadWait    = time.Minute
	// maxAppendQueue is the longest time that an append waits for the rate limit.
	maxAppendQueue = time.Second
)

// Settings configure a Service when it is created.
type Settings struct {
	// Control holds the initial values of the settings of POST /control.
	Control Control
	// Seed seeds the random choice of lost responses and late effects. The same
	// order of appends gives the same choices.
	Seed uint64
	// Now is the clock for record times and retention; nil means time.Now.
	Now func() time.Time
}

// Service is the log service. It implements http.Handler and is safe for
// concurrent use.
type Service struct {
	mux *http.ServeMux
	now func() time.Time
	// syncMu is held for the duration of a synced write.
	syncMu sync.Mutex

	mu       sync.Mutex
	control  Control
	counters Counters
	random   *rand.Rand
	streams  map[string]*stream
	// changed is closed and replaced when records or settings change.
	changed chan struct{}
	// nextAppend is the earliest time of the next append under the rate limit.
	nextAppend time.Time
}

type record struct {
	Offset uint64    `json:"offset"`
	Time   time.Time `json:"time"`
	Data   []byte    `json:"data"`
}

// stream holds consecutive records; the first one has the offset first.
type stream struct {
	first   uint64
	records []record
}

func (st *stream) next() uint64 { return st.first + uint64(len(st.records)) }

// New returns a service without records.
func New(settings Settings) *Service {
	s := &Service{mux: http.NewServeMux(), now: settings.Now, control: settings.Control,
		random:  rand.New(rand.NewPCG(settings.Seed, 0)),
		streams: make(map[string]*stream), changed: make(chan struct{})}
	if s.now == nil {
		s.now = time.Now
	}
	s.mux.HandleFunc("POST /v1/streams/{stream}/records", s.serveAppend)
	s.mux.HandleFunc("GET /v1/streams/{stream}/records", s.serveRead)
	s.mux.HandleFunc("GET /control", s.serveControl)
	s.mux.HandleFunc("POST /control", s.serveControl)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// appendFault is the fault that affects one append.
type appendFault uint8

const (
	appendFaultNone appendFault = iota
	appendFaultResponseLost
	appendFaultLateEffect
)

// serveAppend appends a record, subject to the faults that are switched on.
func (s *Service) serveAppend(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRecordBytes))
	if err != nil || len(data) == 0 {
		http.Error(w, "a record has 1 to 1048576 bytes", http.StatusRequestEntityTooLarge)
		return
	}
	if !s.awaitOutage(r.Context()) || !s.awaitAppendRate(r.Context()) {
		s.updateCounters(func(c *Counters) { c.AppendsRefused++ })
		http.Error(w, "append had no effect", http.StatusServiceUnavailable)
		return
	}
	name := r.PathValue("stream")
	fault, delay := s.drawAppendFault()
	if fault == appendFaultLateEffect {
		time.AfterFunc(delay, func() {
			s.append(name, data)
			s.updateCounters(func(c *Counters) { c.EffectsLate++ })
		})
		panic(http.ErrAbortHandler)
	}
	offset := s.syncedAppend(name, data)
	if fault == appendFaultResponseLost {
		s.updateCounters(func(c *Counters) { c.ResponsesLost++ })
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusCreated, map[string]uint64{"offset": offset})
}

// awaitOutage applies the outage to a request: it delays the request, holds it until
// the settings change, or reports false if it must be answered with 503. A request
// that is closed while it is held is aborted.
func (s *Service) awaitOutage(ctx context.Context) bool {
	for {
		s.mu.Lock()
		control, changed := s.control, s.changed
		s.mu.Unlock()
		switch control.Outage {
		case OutageDown:
			return false
		case OutageSlow:
			return sleep(ctx, milliseconds(control.SlowMS))
		case OutageHang:
			select {
			case <-changed:
			case <-ctx.Done():
				panic(http.ErrAbortHandler)
			}
		default:
			return true
		}
	}
}

// awaitAppendRate applies the rate limit and the delay of appends. It reports false
// if the append must not take effect.
func (s *Service) awaitAppendRate(ctx context.Context) bool {
	s.mu.Lock()
	now := time.Now()
	wait := time.Duration(0)
	if s.control.AppendsPerSecond > 0 {
		if s.nextAppend.Before(now) {
			s.nextAppend = now
		}
		wait = s.nextAppend.Sub(now)
		if wait > maxAppendQueue {
			s.mu.Unlock()
			return false
		}
		s.nextAppend = s.nextAppend.Add(time.Duration(float64(time.Second) / s.control.AppendsPerSecond))
	}
	wait += milliseconds(s.control.AppendDelayMS)
	s.mu.Unlock()
	return sleep(ctx, wait)
}

// drawAppendFault chooses the fault of an append, and the delay of a late effect.
func (s *Service) drawAppendFault() (appendFault, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delay := milliseconds(s.control.LateMS)
	draw := s.random.Float64()
	switch {
	case s.control.LoseNext > 0:
		s.control.LoseNext--
		return appendFaultResponseLost, 0
	case s.control.LateNext > 0:
		s.control.LateNext--
		return appendFaultLateEffect, delay
	case draw < s.control.LoseShare:
		return appendFaultResponseLost, 0
	case draw < s.control.LoseShare+s.control.LateShare:
		return appendFaultLateEffect, delay
	}
	return appendFaultNone, 0
}

// syncedAppend appends a record after the duration of a synced write.
func (s *Service) syncedAppend(name string, data []byte) uint64 {
	s.mu.Lock()
	cost := milliseconds(s.control.SyncMS)
	s.mu.Unlock()
	if cost > 0 {
		s.syncMu.Lock()
		defer s.syncMu.Unlock()
		time.Sleep(cost)
	}
	return s.append(name, data)
}

// append appends a record, applies the retention and returns the offset.
func (s *Service) append(name string, data []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.streamLocked(name)
	offset := st.next()
	st.records = append(st.records, record{Offset: offset, Time: s.now().UTC(), Data: data})
	s.counters.Appends++
	s.counters.AppendBytes += uint64(len(data))
	s.trimLocked(st)
	s.wakeWaitersLocked()
	return offset
}

// page is the answer to a read. First and Next are the retained range of the
// stream, as in StreamStatus.
type page struct {
	First   uint64   `json:"first"`
	Next    uint64   `json:"next"`
	Records []record `json:"records"`
}

func (s *Service) serveRead(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, err1 := strconv.ParseUint(query.Get("from"), 10, 64)
	count, err2 := strconv.Atoi(query.Get("max"))
	waitMS, err3 := strconv.ParseInt(query.Get("wait_ms"), 10, 64)
	if err1 != nil || err2 != nil || err3 != nil || from == 0 || count <= 0 || waitMS < 0 {
		http.Error(w, "from and max must be at least 1, wait_ms at least 0", http.StatusBadRequest)
		return
	}
	wait := min(time.Duration(min(waitMS, maxReadWait.Milliseconds()))*time.Millisecond, maxReadWait)
	if !s.awaitOutage(r.Context()) {
		s.refuseRead(w)
		return
	}
	page, ok := s.read(r.Context(), r.PathValue("stream"), from, min(count, maxPageRecords), wait)
	if !ok {
		s.refuseRead(w)
		return
	}
	s.updateCounters(func(c *Counters) { c.Reads++; c.RecordsRead += uint64(len(page.Records)) })
	writeJSON(w, http.StatusOK, page)
}

func (s *Service) refuseRead(w http.ResponseWriter) {
	s.updateCounters(func(c *Counters) { c.ReadsRefused++ })
	http.Error(w, "log service is down", http.StatusServiceUnavailable)
}

// read waits for at least one record, and returns an empty page when the wait
// or the request ends. It reports false if the service is down or hangs by then.
func (s *Service) read(ctx context.Context, name string, from uint64, count int, wait time.Duration) (page, bool) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for expired := false; ; {
		s.mu.Lock()
		p := s.pageLocked(name, from, count)
		down := s.control.Outage == OutageDown || s.control.Outage == OutageHang
		changed := s.changed
		s.mu.Unlock()
		if down {
			return page{}, false
		}
		if len(p.Records) > 0 || expired {
			return p, true
		}
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		case <-ctx.Done():
			expired = true
		}
	}
}

func (s *Service) pageLocked(name string, from uint64, count int) page {
	st := s.streamLocked(name)
	s.trimLocked(st)
	p := page{First: st.first, Next: st.next(), Records: []record{}}
	if from >= p.Next {
		return p
	}
	size := 0
	for _, r := range st.records[max(from, st.first)-st.first:] {
		if len(p.Records) == count || size > maxPageBytes {
			break
		}
		size += len(r.Data)
		p.Records = append(p.Records, r)
	}
	return p
}

func (s *Service) streamLocked(name string) *stream {
	st, ok := s.streams[name]
	if !ok {
		st = &stream{first: 1}
		s.streams[name] = st
	}
	return st
}

// trimLocked removes the records that exceed the retention by count or age.
func (s *Service) trimLocked(st *stream) {
	first := st.first
	if keep := s.control.RetainRecords; keep > 0 && len(st.records) > keep {
		first = st.next() - uint64(keep)
	}
	if s.control.RetainMS > 0 {
		oldest := s.now().Add(-milliseconds(s.control.RetainMS))
		for first < st.next() && st.records[first-st.first].Time.Before(oldest) {
			first++
		}
	}
	s.removeBeforeLocked(st, first)
}

func (s *Service) removeBeforeLocked(st *stream, first uint64) {
	first = min(first, st.next())
	if first <= st.first {
		return
	}
	removed := first - st.first
	clear(st.records[:removed])
	st.records = st.records[removed:]
	st.first = first
	s.counters.RecordsTrimmed += removed
}

// wakeWaitersLocked makes waiting requests check records and settings again.
func (s *Service) wakeWaitersLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Service) updateCounters(change func(*Counters)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.counters)
}

// sleep waits for a duration. It reports false if the context ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(value)
}
