package entry

import (
	"maps"
	"slices"
	"sort"

	"github.com/cockroachdb/errors"

	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/process/quota"
	"github.com/azurerouter/azurerouter/process/scheduler"
	"github.com/azurerouter/azurerouter/version/config"
)

// maxDumpAgents is the largest number of agents listed in a dump.
const maxDumpAgents = 1000

// Dump is the state of an entry as shown to operators.
type Dump struct {
	Incarnation  string `json:"incarnation"`
	Ready        string `json:"ready"`
	FencedOff    bool   `json:"fenced_off"`
	ConfigOffset uint64 `json:"config_offset"`
	// ActiveJobs is the number of submissions without a reply, Serving the
	// number of agents that accept tasks, and Outstanding the number of tasks
	// at agents. Waiting is the number of queued tasks and Ejected the number
	// of ejected targets, of all services together.
	ActiveJobs  int                       `json:"active_jobs"`
	Serving     int                       `json:"agents_serving"`
	Outstanding int                       `json:"tasks_outstanding"`
	Waiting     int                       `json:"tasks_waiting"`
	Ejected     int                       `json:"targets_ejected"`
	Jobs        []ShardDump               `json:"jobs"`
	Services    map[string]scheduler.Dump `json:"services"`
	Agents      []AgentDump               `json:"agents"`
	Entries     []EntryDump               `json:"entries"`
	// ClaimsWaiting is the number of submissions whose claim is not decided.
	ClaimsWaiting int              `json:"claims_waiting"`
	Quotas        []quota.TeamDump `json:"quotas"`
	// Queries is the number of calls that wait for the entry that owns their
	// key, and Recoveries the number of recoveries of dead entries.
	Queries    int `json:"queries"`
	Recoveries int `json:"recoveries"`
	// StrayAnswers counts answers that match no outstanding task or open job,
	// and Recovered the jobs of dead entries that were answered from the results
	// at agents.
	StrayAnswers uint64 `json:"stray_answers"`
	Recovered    uint64 `json:"recovered"`
	// DowngradedRefusals counts refusals that were changed from refusal.NotRun
	// to refusal.RunUnknown because of a start under the key.
	DowngradedRefusals uint64 `json:"promises_withheld"`
}

// ShardDump counts the jobs of a shard by phase.
type ShardDump map[string]int

// AgentDump is the state of one agent as seen by an entry.
type AgentDump struct {
	Name        string `json:"name"`
	Incarnation string `json:"incarnation"`
	Service     string `json:"service"`
	Zone        string `json:"zone"`
	Connected   bool   `json:"connected"`
	Serving     bool   `json:"serving"`
	Leaving     bool   `json:"leaving"`
	// SilentMS is the time since the last message, in milliseconds.
	SilentMS int64 `json:"silent_ms"`
	// Outstanding is the number of unanswered tasks at the agent, and Unreleased
	// the number of sequences whose results it must keep.
	Outstanding  int    `json:"outstanding"`
	Unreleased   int    `json:"unreleased"`
	ConfigOffset uint64 `json:"config_offset"`
}

// EntryDump is the state of another entry as seen by this one.
type EntryDump struct {
	Name         string `json:"name"`
	Incarnation  string `json:"incarnation"`
	Connected    bool   `json:"connected"`
	SilentMS     int64  `json:"silent_ms"`
	ConfigOffset uint64 `json:"config_offset"`
}

// Dump returns the current state.
func (c *Core) Dump() Dump {
	dump := Dump{Incarnation: c.self.String(), Ready: "yes", FencedOff: c.Fenced(),
		ConfigOffset: c.peers.configOffset(), Queries: c.peers.pendingQueries(),
		Services:     make(map[string]scheduler.Dump),
		StrayAnswers: c.counters.strayAnswers.Load(), Recovered: c.counters.recovered.Load(),
		DowngradedRefusals: c.counters.downgradedRefusals.Load()}
	dump.ActiveJobs = c.ActiveJobs()
	if err := c.Ready(); err != nil {
		dump.Ready = err.Error()
	}
	for i := range c.shards {
		dump.Jobs = append(dump.Jobs, c.shards[i].dump())
	}
	for _, svc := range c.allServices() {
		svc.mu.Lock()
		dump.Services[svc.name] = svc.scheduler.Dump(c.env.Now())
		svc.mu.Unlock()
		queued, ejected := svc.queuedAndEjected(c.env.Now())
		dump.Waiting += queued
		dump.Ejected += len(ejected)
	}
	c.quotas.mu.Lock()
	dump.Quotas = c.quotas.shares.Dump(c.env.Now())
	c.quotas.mu.Unlock()
	dump.ClaimsWaiting = c.claims.waiting()
	c.dumpPeers(&dump)
	return dump
}

func (s *shard) dump() ShardDump {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := make(ShardDump)
	for _, e := range s.jobs {
		counts[phaseNames[e.phase]]++
	}
	return counts
}

func (c *Core) dumpPeers(dump *Dump) {
	now := c.env.Now()
	for _, link := range c.allAgents() {
		link.mu.Lock()
		dump.Agents = append(dump.Agents, AgentDump{Name: link.hello.Name, Incarnation: link.hello.Incarnation.String(),
			Service: link.hello.Service, Zone: link.hello.Zone, Connected: link.connected, Serving: link.serving,
			Leaving: link.leaving, SilentMS: wire.Milliseconds(now.Sub(link.lastHeard)),
			Outstanding: len(link.outstanding), Unreleased: len(link.unreleased), ConfigOffset: link.configOffset})
		if link.serving {
			dump.Serving++
		}
		dump.Outstanding += len(link.outstanding)
		link.mu.Unlock()
	}
	sort.Slice(dump.Agents, func(i, j int) bool { return dump.Agents[i].Name < dump.Agents[j].Name })
	dump.Agents = dump.Agents[:min(len(dump.Agents), maxDumpAgents)]
	c.peers.mu.Lock()
	defer c.peers.mu.Unlock()
	dump.Recoveries = len(c.peers.recoveries)
	for _, id := range slices.Sorted(maps.Keys(c.peers.entries)) {
		link := c.peers.entries[id]
		dump.Entries = append(dump.Entries, EntryDump{Name: link.hello.Name, Incarnation: id.String(),
			Connected: link.connected, SilentMS: wire.Milliseconds(now.Sub(link.lastHeard)), ConfigOffset: link.configOffset})
	}
}

// daemonDump adds the state that Core does not hold.
type daemonDump struct {
	Dump
	// Sources maps each configured value to the file that sets it.
	Sources map[string]string `json:"sources"`
	Faults  []string          `json:"faults"`
	Members []string          `json:"members"`
}

func (d *Daemon) dump() daemonDump {
	dump := daemonDump{Dump: d.core.Dump()}
	d.mu.Lock()
	defer d.mu.Unlock()
	dump.Sources = d.sources
	for _, fault := range d.faults {
		dump.Faults = append(dump.Faults, fault.String())
	}
	for _, entry := range d.members.List() {
		dump.Members = append(dump.Members, entry.Name+" "+entry.Incarnation.String()+" "+entry.PeerAddr)
	}
	return dump
}

// reportConfigError logs the error of a configuration record or of a peer's
// state. A state that disagrees with the log or with a peer violates the order
// of versions, which is reported as a violation of G8.
func (d *Daemon) reportConfigError(peer string, err error) {
	var disagreement *config.DisagreementError
	d.observer.Log.Warn().Str("step", "config").Str("peer", peer).Err(err).Msg("configuration record skipped")
	if errors.As(err, &disagreement) {
		d.observer.ReportViolation("G8", "config", peer, err.Error())
	}
}
