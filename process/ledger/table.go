package ledger

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/azurerouter/azurerouter/request/batch"
)

// Table is what the records up to an offset say.
type Table struct {
	jobs   map[batch.ID]*job
	owners map[Owner]*owner
}

type job struct {
	claims    map[claim]*claimState
	cancelled bool
	// endedAt is when a final state was first read.
	endedAt time.Time
}

type claim struct {
	term  uint64
	owner Owner
}

type claimState struct {
	claim
	// offset is that of the accepting record; it decides between owners of one
	// term.
	offset   uint64
	accepted *Accepted
	progress *Progress
}

// owner is what is known of one owner.
type owner struct {
	node string
	// heard is when its newest record was read.
	heard time.Time
}

// View is the state of one job.
type View struct {
	Owner     Owner
	Term      uint64
	Accepted  Accepted
	Progress  Progress
	Cancelled bool
	// EndedAt is when the final state was first read, or zero.
	EndedAt time.Time
}

// NewTable returns the table of an empty log.
func NewTable() *Table {
	return &Table{jobs: make(map[batch.ID]*job), owners: make(map[Owner]*owner)}
}

// Apply takes the record at an offset. now is when it was read. It returns the
// job that the record is about, if any. An error is marked ErrForeign if another
// writer left the record.
func (t *Table) Apply(now time.Time, offset uint64, r Record) (batch.ID, error) {
	k, err := parseKey(r.Key)
	if err != nil {
		return "", err
	}
	if k.owner != "" && len(r.Value) > 0 {
		t.hear(now, k.owner)
	}
	switch k.kind {
	case kindAlive:
		return "", t.applyAlive(k.owner, r.Value)
	case kindCancel:
		t.applyCancel(k.job, r.Value)
		return k.job, nil
	}
	return k.job, t.applyClaim(now, offset, k, r.Value)
}

func (t *Table) hear(now time.Time, name Owner) {
	o := t.owners[name]
	if o == nil {
		o = &owner{}
		t.owners[name] = o
	}
	o.heard = now
}

func (t *Table) applyAlive(name Owner, value []byte) error {
	if len(value) == 0 {
		delete(t.owners, name)
		return nil
	}
	var a Alive
	if err := cbor.Unmarshal(value, &a); err != nil {
		return errors.Wrapf(err, "decode record of owner %s", name)
	}
	t.owners[name].node = a.Node
	return nil
}

func (t *Table) job(id batch.ID) *job {
	j := t.jobs[id]
	if j == nil {
		j = &job{claims: make(map[claim]*claimState)}
		t.jobs[id] = j
	}
	return j
}

func (t *Table) applyCancel(id batch.ID, value []byte) {
	if len(value) == 0 {
		t.dropIfEmpty(id)
		return
	}
	t.job(id).cancelled = true
}

func (t *Table) applyClaim(now time.Time, offset uint64, k key, value []byte) error {
	j := t.job(k.job)
	c := claim{k.term, k.owner}
	state := j.claims[c]
	if len(value) == 0 {
		delete(j.claims, c)
		t.dropIfEmpty(k.job)
		return nil
	}
	if state == nil {
		state = &claimState{claim: c}
		j.claims[c] = state
	}
	if k.kind == kindAccept {
		var a Accepted
		if err := cbor.Unmarshal(value, &a); err != nil {
			return errors.Wrapf(err, "decode job %s", k.job)
		}
		state.accepted, state.offset = &a, offset
		return nil
	}
	var p Progress
	if err := cbor.Unmarshal(value, &p); err != nil {
		return errors.Wrapf(err, "decode progress of job %s", k.job)
	}
	state.progress = &p
	if current := j.current(); current == state && p.State != Open && j.endedAt.IsZero() {
		j.endedAt = now
	}
	return nil
}

func (t *Table) dropIfEmpty(id batch.ID) {
	if j := t.jobs[id]; j != nil && len(j.claims) == 0 {
		delete(t.jobs, id)
	}
}

// current returns the claim that counts: the highest term, and in a term the
// first one in the log. It is nil if no claim has its accepting record.
func (j *job) current() *claimState {
	var best *claimState
	for _, c := range j.claims {
		if c.accepted == nil {
			continue
		}
		if best == nil || cmp.Or(cmp.Compare(best.term, c.term), cmp.Compare(c.offset, best.offset)) < 0 {
			best = c
		}
	}
	return best
}

// Job returns the state of a job. It reports false for a job that no one has
// accepted.
func (t *Table) Job(id batch.ID) (View, bool) {
	j := t.jobs[id]
	if j == nil {
		return View{}, false
	}
	c := j.current()
	if c == nil {
		return View{}, false
	}
	v := View{Owner: c.owner, Term: c.term, Accepted: *c.accepted, Progress: c.accepted.Progress, Cancelled: j.cancelled, EndedAt: j.endedAt}
	if c.progress != nil {
		v.Progress = *c.progress
	}
	return v, true
}

// Losers returns the claims of an owner on a job that do not count, because
// another owner was first.
func (t *Table) Losers(id batch.ID, name Owner) []Record {
	j := t.jobs[id]
	if j == nil {
		return nil
	}
	var drop []Record
	current := j.current()
	for c, state := range j.claims {
		if state != current && c.owner == name && current != nil && c.term == current.term {
			drop = append(drop, Record{Key: claimKey(kindAccept, id, c.term, c.owner)})
		}
	}
	return drop
}

// OpenJobs returns the jobs of an owner that have not ended, in order.
func (t *Table) OpenJobs(name Owner) []batch.ID {
	var open []batch.ID
	for id := range t.jobs {
		if v, ok := t.Job(id); ok && v.Owner == name && v.Progress.State == Open {
			open = append(open, id)
		}
	}
	slices.Sort(open)
	return open
}

// Orphan is an owner with open jobs that is taken for gone.
type Orphan struct {
	Owner Owner
	// Heard is when its last record was read.
	Heard time.Time
	Jobs  []batch.ID
}

// Orphans returns the owners with open jobs that have been silent since a time,
// or that ran earlier on the given instance as another incarnation.
func (t *Table) Orphans(silentSince time.Time, node string, self Owner) []Orphan {
	open := make(map[Owner][]batch.ID)
	for id := range t.jobs {
		if v, ok := t.Job(id); ok && v.Progress.State == Open && v.Owner != self {
			open[v.Owner] = append(open[v.Owner], id)
		}
	}
	var orphans []Orphan
	for _, name := range slices.Sorted(maps.Keys(open)) {
		o := t.owners[name]
		if o == nil {
			o = &owner{}
		}
		if o.heard.Before(silentSince) || (o.node == node && node != "") {
			slices.Sort(open[name])
			orphans = append(orphans, Orphan{Owner: name, Heard: o.heard, Jobs: open[name]})
		}
	}
	return orphans
}

// Expired returns records that drop every job that ended before a time.
func (t *Table) Expired(endedBefore time.Time) []Record {
	var drop []Record
	for id, j := range t.jobs {
		if j.endedAt.IsZero() || !j.endedAt.Before(endedBefore) {
			continue
		}
		for c := range j.claims {
			drop = append(drop, Record{Key: claimKey(kindAccept, id, c.term, c.owner)}, Record{Key: claimKey(kindProgress, id, c.term, c.owner)})
		}
		if j.cancelled {
			drop = append(drop, Record{Key: string(kindCancel) + "/" + string(id)})
		}
	}
	return drop
}

// Waiting returns how many open jobs of a queue have no task that has ended or
// begun, as far as begun says so for the jobs of this process.
func (t *Table) Waiting(service, queue string, begun func(batch.ID) bool) int {
	waiting := 0
	for id := range t.jobs {
		v, ok := t.Job(id)
		if ok && v.Progress.State == Open && v.Accepted.Service == service && v.Accepted.Queue == queue && len(v.Progress.Tasks) == 0 && !begun(id) {
			waiting++
		}
	}
	return waiting
}
