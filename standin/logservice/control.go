package logservice

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"time"
)

// Outage is a fault of the whole service, in which requests fail or are delayed.
type Outage string

// Values of Outage.
const (
	// OutageNone is normal operation.
	OutageNone Outage = ""
	// OutageDown answers every request with 503 at once.
	OutageDown Outage = "down"
	// OutageHang leaves every request unanswered and no append takes effect.
	OutageHang Outage = "hang"
	// OutageSlow delays every request by SlowMS before it is handled.
	OutageSlow Outage = "slow"
)

// Control is the body of POST /control. A field that is absent keeps its
// value, except for Trim, which is an action.
type Control struct {
	// AppendDelayMS delays every append by this many milliseconds. Appends
	// wait concurrently.
	AppendDelayMS float64 `json:"append_delay_ms"`
	// SyncMS is the duration of a synced write in milliseconds. Appends are
	// written one after another, so it also limits the rate to 1000/SyncMS
	// appends per second.
	SyncMS float64 `json:"sync_ms"`
	// AppendsPerSecond limits the rate of appends over all streams; 0 means no
	// limit. Appends above the rate are queued for at most one second; those
	// that would wait longer are answered with 503 and have no effect.
	AppendsPerSecond float64 `json:"appends_per_second"`
	// Outage is "", "down", "hang" or "slow"; see the constants.
	Outage Outage `json:"outage"`
	// SlowMS is the delay of every request, in milliseconds, while Outage is
	// "slow".
	SlowMS float64 `json:"slow_ms"`
	// LoseNext is how many of the next appends take effect but lose their
	// response: the connection is closed without an answer.
	LoseNext int `json:"lose_next"`
	// LoseShare is the share of appends, 0 to 1, that take effect but lose
	// their response.
	LoseShare float64 `json:"lose_share"`
	// LateNext is how many of the next appends lose their response at once and
	// take effect LateMS later.
	LateNext int `json:"late_next"`
	// LateShare is the share of appends, 0 to 1, that lose their response at
	// once and take effect LateMS later.
	LateShare float64 `json:"late_share"`
	// LateMS is the delay, in milliseconds, of the appends of LateNext and
	// LateShare. They take effect even during an outage.
	LateMS float64 `json:"late_ms"`
	// RetainMS is the age in milliseconds beyond which records are trimmed; 0
	// means no limit.
	RetainMS float64 `json:"retain_ms"`
	// RetainRecords is how many records each stream keeps; 0 means no limit.
	RetainRecords int `json:"retain_records"`
	// Trim removes, once, the records of a stream below an offset.
	Trim *Trim `json:"trim,omitempty"`
}

// Trim selects the records of a stream to remove.
type Trim struct {
	// Stream is the name of the stream.
	Stream string `json:"stream"`
	// Before is the lowest offset that is kept.
	Before uint64 `json:"before"`
}

// Counters count what the service has done since its start.
type Counters struct {
	// Appends is the number of appends that took effect.
	Appends uint64 `json:"appends"`
	// AppendBytes is the sum of the sizes of those records, in bytes.
	AppendBytes uint64 `json:"append_bytes"`
	// AppendsRefused is the number of appends answered with 503.
	AppendsRefused uint64 `json:"appends_refused"`
	// ResponsesLost is the number of appends that took effect at once without an
	// answer.
	ResponsesLost uint64 `json:"responses_lost"`
	// EffectsLate is the number of appends that took effect after their
	// response was lost.
	EffectsLate uint64 `json:"effects_late"`
	// Reads is the number of reads answered.
	Reads uint64 `json:"reads"`
	// RecordsRead is the number of records in those answers.
	RecordsRead uint64 `json:"records_read"`
	// ReadsRefused is the number of reads answered with 503.
	ReadsRefused uint64 `json:"reads_refused"`
	// RecordsTrimmed is the number of records removed by age, count or Trim.
	RecordsTrimmed uint64 `json:"records_trimmed"`
}

// StreamStatus is the retained range of a stream.
type StreamStatus struct {
	// First is the oldest retained offset, or Next if none is retained.
	First uint64 `json:"first"`
	// Next is the offset of the next append.
	Next uint64 `json:"next"`
}

// Status is the body of the answers to GET and POST /control.
type Status struct {
	Control  Control                 `json:"control"`
	Counters Counters                `json:"counters"`
	Streams  map[string]StreamStatus `json:"streams"`
}

// Status returns the settings in force and the counters.
func (s *Service) Status() Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	status := Status{Control: s.control, Counters: s.counters, Streams: make(map[string]StreamStatus)}
	for name, st := range s.streams {
		s.trimLocked(st)
		status.Streams[name] = StreamStatus{First: st.first, Next: st.next()}
	}
	return status
}

// SetControl replaces all settings at once and carries out Trim.
func (s *Service) SetControl(control Control) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setControlLocked(control)
}

func (s *Service) setControlLocked(control Control) {
	if trim := control.Trim; trim != nil {
		s.removeBeforeLocked(s.streamLocked(trim.Stream), trim.Before)
	}
	control.Trim = nil
	s.control = control
	s.wakeWaitersLocked()
}

func (s *Service) serveControl(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRecordBytes))
		if err == nil {
			err = s.changeControl(body)
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
	}
	writeJSON(w, http.StatusOK, s.Status())
}

// changeControl sets the fields that are present in the body. It holds the lock from
// reading the settings to changing them, because appends decrement LoseNext and
// LateNext.
func (s *Service) changeControl(body []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	control := s.control
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&control); err != nil {
		return err
	}
	s.setControlLocked(control)
	return nil
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
