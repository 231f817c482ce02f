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

// Table holds the state of all jobs and owners that follows from the records of
// the log up to an offset. It is not safe for concurrent use.
type Table struct {
	jobs map[batch.ID]*job
	// open holds, by owner, the jobs that have been accepted and have not ended.
	open   map[Owner]map[batch.ID]*job
	owners map[Owner]*owner
}

type job struct {
	// claims are the claims of the job, nearly always one.
	claims []*claimState
	// current is the claim that decides who owns the job, or nil; see currentClaim.
	current *claimState
	// openOwner is the owner under which the job is in Table.open, or empty.
	openOwner Owner
	// cancelled is whether a caller has asked to cancel the job.
	cancelled bool
	// endedAt is when this process first read a final state of the job, or zero.
	endedAt time.Time
}

// claim is the ownership of a job by one owner in one term.
type claim struct {
	term  uint64
	owner Owner
}

// claimState holds the records of one claim; those not yet read are nil.
type claimState struct {
	claim
	// acceptOffset is the offset of the accept record. Among claims of the same
	// term the one with the lowest offset wins.
	acceptOffset uint64
	acceptedJob  *AcceptedJob
	progress     *Progress
}

// owner is what the log shows about one owner.
type owner struct {
	// node is the owner's instance, or empty before its first heartbeat.
	node string
	// lastSeen is when its newest record was read.
	lastSeen time.Time
}

// View is the state of one job according to its current claim.
type View struct {
	Owner Owner
	Term  uint64
	// AcceptedJob is empty once the job has ended and its accept record was deleted.
	AcceptedJob AcceptedJob
	Progress    Progress
	Cancelled   bool
	// EndedAt is when this process first read a final state, or zero.
	EndedAt time.Time
}

// NewTable returns the table of an empty log.
func NewTable() *Table {
	return &Table{jobs: make(map[batch.ID]*job), open: make(map[Owner]map[batch.ID]*job), owners: make(map[Owner]*owner)}
}

// Apply adds the record at an offset, which was read at now, to the table. It
// returns the job that the record is about, or an empty ID for a heartbeat. It
// fails if the record can't be decoded; the error is marked ErrForeign if the key
// has none of the formats of this package.
func (t *Table) Apply(now time.Time, offset uint64, r Record) (batch.ID, error) {
	k, err := parseKey(r.Key)
	if err != nil {
		return "", err
	}
	if k.owner != "" && len(r.Value) > 0 {
		t.markSeen(now, k.owner)
	}
	if k.kind == kindHeartbeat {
		return "", t.applyHeartbeat(k.owner, r.Value)
	}
	defer t.updateCurrent(k.job)
	switch {
	case k.kind == kindCancel:
		t.applyCancel(k.job, r.Value)
	case len(r.Value) == 0:
		t.applyClaimTombstone(k)
	default:
		return k.job, t.applyClaim(now, offset, k, r.Value)
	}
	return k.job, nil
}

// updateCurrent updates the current claim of a job, and the open jobs, after a record of
// the job was applied.
func (t *Table) updateCurrent(id batch.ID) {
	j := t.jobs[id]
	if j == nil {
		return
	}
	j.current = j.currentClaim()
	if c := j.current; c != nil && !c.hasEnded() {
		t.setOpen(id, j, c.owner)
	} else {
		t.setOpen(id, j, "")
	}
}

// setOpen adds a job to the open ones of an owner, and removes it from those of the
// previous one. It only removes the job if name is empty.
func (t *Table) setOpen(id batch.ID, j *job, name Owner) {
	if j.openOwner == name {
		return
	}
	if jobs := t.open[j.openOwner]; jobs != nil {
		if delete(jobs, id); len(jobs) == 0 {
			delete(t.open, j.openOwner)
		}
	}
	if name != "" {
		if t.open[name] == nil {
			t.open[name] = make(map[batch.ID]*job)
		}
		t.open[name][id] = j
	}
	j.openOwner = name
}

// markSeen notes that a record of an owner was read.
func (t *Table) markSeen(now time.Time, name Owner) {
	o := t.owners[name]
	if o == nil {
		o = &owner{}
		t.owners[name] = o
	}
	o.lastSeen = now
}

func (t *Table) applyHeartbeat(name Owner, value []byte) error {
	if len(value) == 0 {
		delete(t.owners, name)
		return nil
	}
	var h Heartbeat
	if err := cbor.Unmarshal(value, &h); err != nil {
		return errors.Wrapf(err, "decode record of owner %s", name)
	}
	t.owners[name].node = h.Node
	return nil
}

// ensureJob returns the entry of a job and adds it if it is missing.
func (t *Table) ensureJob(id batch.ID) *job {
	j := t.jobs[id]
	if j == nil {
		j = &job{}
		t.jobs[id] = j
	}
	return j
}

func (t *Table) applyCancel(id batch.ID, value []byte) {
	if len(value) == 0 {
		t.deleteIfUnclaimed(id)
		return
	}
	t.ensureJob(id).cancelled = true
}

// applyClaimTombstone deletes one of the records of a claim.
func (t *Table) applyClaimTombstone(k key) {
	j := t.jobs[k.job]
	if j == nil {
		return
	}
	c := claim{k.term, k.owner}
	state := j.claim(c)
	if state == nil {
		return
	}
	if k.kind == kindAccept {
		state.acceptedJob = nil
	} else {
		state.progress = nil
	}
	if state.acceptedJob == nil && state.progress == nil {
		j.claims = slices.DeleteFunc(j.claims, func(s *claimState) bool { return s == state })
		t.deleteIfUnclaimed(k.job)
	}
}

// applyClaim applies a record of a claim, or returns an error and has no effect.
func (t *Table) applyClaim(now time.Time, offset uint64, k key, value []byte) error {
	if k.kind == kindAccept {
		a, err := decodeAcceptedJob(k.job, value)
		if err != nil {
			return errors.Wrapf(err, "decode job %s", k.job)
		}
		_, state := t.ensureClaim(k)
		state.acceptedJob, state.acceptOffset = a, offset
		return nil
	}
	p, err := decodeProgress(value)
	if err != nil {
		return errors.Wrapf(err, "decode progress of job %s", k.job)
	}
	j, state := t.ensureClaim(k)
	state.progress = p
	if state.hasEnded() && j.endedAt.IsZero() && j.currentClaim() == state {
		j.endedAt = now
	}
	return nil
}

// ensureClaim returns the job and the claim of a key and adds them if they are missing.
func (t *Table) ensureClaim(k key) (*job, *claimState) {
	j := t.ensureJob(k.job)
	c := claim{k.term, k.owner}
	state := j.claim(c)
	if state == nil {
		state = &claimState{claim: c}
		j.claims = append(j.claims, state)
	}
	return j, state
}

// claim returns the records of a claim, or nil if none is known.
func (j *job) claim(c claim) *claimState {
	for _, state := range j.claims {
		if state.claim == c {
			return state
		}
	}
	return nil
}

// deleteIfUnclaimed removes a job without any claim from the table.
func (t *Table) deleteIfUnclaimed(id batch.ID) {
	if j := t.jobs[id]; j != nil && len(j.claims) == 0 {
		t.setOpen(id, j, "")
		delete(t.jobs, id)
	}
}

// hasEnded reports whether the claim's owner has recorded the end of the job.
func (c *claimState) hasEnded() bool { return c.progress != nil && c.progress.State != Open }

// rank orders the claims of one term: the lowest one wins.
func (c *claimState) rank() uint64 {
	if c.acceptedJob == nil {
		return 0
	}
	return c.acceptOffset + 1
}

// currentClaim returns the claim that decides who owns the job: the one with the
// highest term and, within that term, the lowest offset of its accept record. A claim
// whose accept record was deleted when its owner ended the job precedes all others of
// its term. It is nil if no claim of the job is known.
func (j *job) currentClaim() *claimState {
	var best *claimState
	for _, c := range j.claims {
		if c.acceptedJob == nil && !c.hasEnded() {
			continue
		}
		if best == nil || cmp.Or(cmp.Compare(best.term, c.term), cmp.Compare(c.rank(), best.rank())) < 0 {
			best = c
		}
	}
	return best
}

// Job returns the state of a job. It reports false if neither an accept record of the
// job nor its end has been read.
func (t *Table) Job(id batch.ID) (View, bool) {
	j := t.jobs[id]
	if j == nil || j.current == nil {
		return View{}, false
	}
	c := j.current
	v := View{Owner: c.owner, Term: c.term, Cancelled: j.cancelled, EndedAt: j.endedAt}
	if c.acceptedJob != nil {
		v.AcceptedJob, v.Progress = *c.acceptedJob, c.acceptedJob.Progress
	}
	if c.progress != nil {
		v.Progress = *c.progress
	}
	return v, true
}

// LosingClaimTombstones returns the records that delete the claims of an owner on
// a job which have lost to an earlier claim of the same term by another owner.
func (t *Table) LosingClaimTombstones(id batch.ID, name Owner) []Record {
	j := t.jobs[id]
	if j == nil {
		return nil
	}
	var tombstones []Record
	current := j.current
	for _, c := range j.claims {
		if c != current && c.owner == name && current != nil && c.term == current.term {
			tombstones = append(tombstones, Record{Key: claimKey(kindAccept, id, c.term, c.owner)})
		}
	}
	return tombstones
}

// OpenJobs returns the jobs of an owner that have not ended, sorted by ID.
func (t *Table) OpenJobs(name Owner) []batch.ID {
	return slices.Sorted(maps.Keys(t.open[name]))
}

// DeadOwner is an owner with open jobs that is presumed dead.
type DeadOwner struct {
	Owner Owner
	// LastSeen is when its last record was read, or zero if none was.
	LastSeen time.Time
	// OpenJobs are sorted by ID.
	OpenJobs []batch.ID
}

// DeadOwners returns the owners with open jobs, except self, of which no record has
// been read since silentSince, or that ran on the instance node, where self has
// replaced them. They are sorted by name.
func (t *Table) DeadOwners(silentSince time.Time, node string, self Owner) []DeadOwner {
	var dead []DeadOwner
	for _, name := range slices.Sorted(maps.Keys(t.open)) {
		if name == self {
			continue
		}
		o := t.owners[name]
		if o == nil {
			o = &owner{}
		}
		if o.lastSeen.Before(silentSince) || (o.node == node && node != "") {
			dead = append(dead, DeadOwner{Owner: name, LastSeen: o.lastSeen, OpenJobs: t.OpenJobs(name)})
		}
	}
	return dead
}

// LastSeen returns when the last record of an owner was read, or the zero time if none was.
func (t *Table) LastSeen(name Owner) time.Time {
	if o := t.owners[name]; o != nil {
		return o.lastSeen
	}
	return time.Time{}
}

// EndedTombstones returns the records that delete all records of a job but the progress
// record with which an owner ends it in a term. Of an ended job only its state is
// needed, so that readers that start later have little to read.
func (t *Table) EndedTombstones(id batch.ID, term uint64, name Owner) []Record {
	j := t.jobs[id]
	if j == nil {
		return nil
	}
	return slices.DeleteFunc(j.tombstones(id), func(r Record) bool { return r.Key == claimKey(kindProgress, id, term, name) })
}

// tombstones returns the records that delete all records of a job.
func (j *job) tombstones(id batch.ID) []Record {
	var tombstones []Record
	for _, state := range j.claims {
		c := state.claim
		if state.acceptedJob != nil {
			tombstones = append(tombstones, Record{Key: claimKey(kindAccept, id, c.term, c.owner)})
		}
		if state.progress != nil {
			tombstones = append(tombstones, Record{Key: claimKey(kindProgress, id, c.term, c.owner)})
		}
	}
	if j.cancelled {
		tombstones = append(tombstones, Record{Key: string(kindCancel) + "/" + string(id)})
	}
	return tombstones
}

// ExpiredTombstones returns the records that delete all records of the jobs whose
// end was first read before endedBefore, and those of owners without jobs of which
// no record has been read since.
func (t *Table) ExpiredTombstones(endedBefore time.Time) []Record {
	var tombstones []Record
	withJobs := make(map[Owner]bool)
	for id, j := range t.jobs {
		if !j.endedAt.IsZero() && j.endedAt.Before(endedBefore) {
			tombstones = append(tombstones, j.tombstones(id)...)
			continue
		}
		for _, c := range j.claims {
			withJobs[c.owner] = true
		}
	}
	for name, o := range t.owners {
		if !withJobs[name] && o.lastSeen.Before(endedBefore) {
			tombstones = append(tombstones, Record{Key: string(kindHeartbeat) + "/" + string(name)})
		}
	}
	return tombstones
}

// Waiting returns how many open jobs of a queue have no task that has ended or
// begun. begun reports whether a task of a job of self has begun in this process; of
// tasks begun elsewhere the log holds only the ends.
func (t *Table) Waiting(service, queue string, self Owner, begun func(batch.ID) bool) int {
	waiting := 0
	for name, jobs := range t.open {
		for id, j := range jobs {
			if j.current.waits(service, queue) && (name != self || !begun(id)) {
				waiting++
			}
		}
	}
	return waiting
}

// waits reports whether the claim is of a job of a queue of which no task has ended.
func (c *claimState) waits(service, queue string) bool {
	a := c.acceptedJob
	if a == nil || a.Service != service || a.Queue != queue {
		return false
	}
	if c.progress != nil {
		return len(c.progress.Tasks) == 0
	}
	return len(a.Progress.Tasks) == 0
}
