// Package logservice is an in-memory stand-in of the platform's append-only
// log service, with faults that a test switches on through POST /control.
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
	// A page ends when its data exceeds this size, but holds at least one
	// record.
	maxPageBytes   = 4 << 20
	maxPageRecords = 10_000
	maxWait        = time.Minute
	// maxTurnWait bounds the queue that the append cap builds up.
	maxTurnWait = time.Second
)

// Settings are fixed for the life of a Service.
type Settings struct {
	Control Control
	// Seed makes the choice of lost responses repeatable for the same order of
	// appends.
	Seed uint64
	// Now is the clock for record times and retention; nil means time.Now.
	Now func() time.Time
}

// Service is the log service. It implements http.Handler and is safe for
// concurrent use.
type Service struct {
	mux *http.ServeMux
	now func() time.Time
	// sync is held for the length of a synced write.
	sync sync.Mutex

	mu       sync.Mutex
	control  Control
	counters Counters
	random   *rand.Rand
	streams  map[string]*stream
	changed  chan struct{}
	turn     time.Time
}

type record struct {
	Offset uint64    `json:"offset"`
	Time   time.Time `json:"time"`
	Data   []byte    `json:"data"`
}

// stream holds the records from offset first on, without gaps.
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

// fate is what happens to one append.
type fate uint8

const (
	fateNormal fate = iota
	fateLost
	fateLate
)

func (s *Service) serveAppend(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRecordBytes))
	if err != nil || len(data) == 0 {
		http.Error(w, "a record has 1 to 1048576 bytes", http.StatusRequestEntityTooLarge)
		return
	}
	if !s.available(r.Context()) || !s.awaitTurn(r.Context()) {
		s.count(func(c *Counters) { c.AppendsRefused++ })
		http.Error(w, "append had no effect", http.StatusServiceUnavailable)
		return
	}
	name := r.PathValue("stream")
	fate, late := s.drawFate()
	if fate == fateLate {
		time.AfterFunc(late, func() {
			s.append(name, data)
			s.count(func(c *Counters) { c.EffectsLate++ })
		})
		panic(http.ErrAbortHandler)
	}
	offset := s.syncedAppend(name, data)
	if fate == fateLost {
		s.count(func(c *Counters) { c.ResponsesLost++ })
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusCreated, map[string]uint64{"offset": offset})
}

// available applies the outage. It reports false for a request that must be
// answered with 503, and aborts a request that hangs.
func (s *Service) available(ctx context.Context) bool {
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

// awaitTurn applies the cap and the delay of appends. It reports false if the
// append must not take effect.
func (s *Service) awaitTurn(ctx context.Context) bool {
	s.mu.Lock()
	now := time.Now()
	wait := time.Duration(0)
	if s.control.AppendsPerSecond > 0 {
		if s.turn.Before(now) {
			s.turn = now
		}
		wait = s.turn.Sub(now)
		if wait > maxTurnWait {
			s.mu.Unlock()
			return false
		}
		s.turn = s.turn.Add(time.Duration(float64(time.Second) / s.control.AppendsPerSecond))
	}
	wait += milliseconds(s.control.AppendDelayMS)
	s.mu.Unlock()
	return sleep(ctx, wait)
}

func (s *Service) drawFate() (fate, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	late := milliseconds(s.control.LateMS)
	draw := s.random.Float64()
	switch {
	case s.control.LoseNext > 0:
		s.control.LoseNext--
		return fateLost, 0
	case s.control.LateNext > 0:
		s.control.LateNext--
		return fateLate, late
	case draw < s.control.LoseShare:
		return fateLost, 0
	case draw < s.control.LoseShare+s.control.LateShare:
		return fateLate, late
	}
	return fateNormal, 0
}

func (s *Service) syncedAppend(name string, data []byte) uint64 {
	s.mu.Lock()
	cost := milliseconds(s.control.SyncMS)
	s.mu.Unlock()
	if cost > 0 {
		s.sync.Lock()
		defer s.sync.Unlock()
		time.Sleep(cost)
	}
	return s.append(name, data)
}

func (s *Service) append(name string, data []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.streamLocked(name)
	offset := st.next()
	st.records = append(st.records, record{Offset: offset, Time: s.now().UTC(), Data: data})
	s.counters.Appends++
	s.counters.AppendBytes += uint64(len(data))
	s.trimLocked(st)
	s.wakeLocked()
	return offset
}

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
	wait := min(time.Duration(min(waitMS, maxWait.Milliseconds()))*time.Millisecond, maxWait)
	if !s.available(r.Context()) {
		s.refuseRead(w)
		return
	}
	page, ok := s.read(r.Context(), r.PathValue("stream"), from, min(count, maxPageRecords), wait)
	if !ok {
		s.refuseRead(w)
		return
	}
	s.count(func(c *Counters) { c.Reads++; c.RecordsRead += uint64(len(page.Records)) })
	writeJSON(w, http.StatusOK, page)
}

func (s *Service) refuseRead(w http.ResponseWriter) {
	s.count(func(c *Counters) { c.ReadsRefused++ })
	http.Error(w, "log service is down", http.StatusServiceUnavailable)
}

// read waits for a record. It reports false if an outage begins meanwhile.
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

func (s *Service) trimLocked(st *stream) {
	before := st.first
	if keep := s.control.RetainRecords; keep > 0 && len(st.records) > keep {
		before = st.next() - uint64(keep)
	}
	if s.control.RetainMS > 0 {
		oldest := s.now().Add(-milliseconds(s.control.RetainMS))
		for before < st.next() && st.records[before-st.first].Time.Before(oldest) {
			before++
		}
	}
	s.removeBeforeLocked(st, before)
}

func (s *Service) removeBeforeLocked(st *stream, before uint64) {
	before = min(before, st.next())
	if before <= st.first {
		return
	}
	removed := before - st.first
	clear(st.records[:removed])
	st.records = st.records[removed:]
	st.first = before
	s.counters.RecordsTrimmed += removed
}

// wakeLocked lets waiting requests look again.
func (s *Service) wakeLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Service) count(change func(*Counters)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.counters)
}

// sleep reports false if the context ends first.
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
