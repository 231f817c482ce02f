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

// maxDumpPeers bounds the agents listed in a dump.
const maxDumpPeers = 1000

// Dump is the state of an entry for an operator.
type Dump struct {
	Incarnation  string `json:"incarnation"`
	Ready        string `json:"ready"`
	FencedOff    bool   `json:"fenced_off"`
	ConfigOffset uint64 `json:"config_offset"`
	// ActiveJobs are not answered yet, Serving agents take work, Outstanding tasks
	// are at agents. Waiting tasks and Ejected targets are those of all services.
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
	Queries       int              `json:"queries"`
	Recoveries    int              `json:"recoveries"`
	StrayAnswers  uint64           `json:"stray_answers"`
	Recovered     uint64           `json:"recovered"`
	// PromisesWithheld counts refusals as not run that were weakened because of
	// a start under the key.
	PromisesWithheld uint64 `json:"promises_withheld"`
}

// ShardDump counts the jobs of a shard by phase.
type ShardDump map[string]int

// AgentDump is what an entry knows of one agent.
type AgentDump struct {
	Name        string `json:"name"`
	Incarnation string `json:"incarnation"`
	Service     string `json:"service"`
	Zone        string `json:"zone"`
	Connected   bool   `json:"connected"`
	Serving     bool   `json:"serving"`
	Leaving     bool   `json:"leaving"`
	// SilentMS is the time since the last message, in milliseconds.
	SilentMS     int64  `json:"silent_ms"`
	Outstanding  int    `json:"outstanding"`
	Unreleased   int    `json:"unreleased"`
	ConfigOffset uint64 `json:"config_offset"`
}

// EntryDump is what an entry knows of another one.
type EntryDump struct {
	Name         string `json:"name"`
	Incarnation  string `json:"incarnation"`
	Connected    bool   `json:"connected"`
	SilentMS     int64  `json:"silent_ms"`
	ConfigOffset uint64 `json:"config_offset"`
}

// Dump returns a copy of the state.
func (c *Core) Dump() Dump {
	dump := Dump{Incarnation: c.self.String(), Ready: "yes", FencedOff: c.FencedOff(),
		ConfigOffset: c.peers.configOffset(), Queries: c.peers.pendingQueries(),
		Services:     make(map[string]scheduler.Dump),
		StrayAnswers: c.counters.strayAnswers.Load(), Recovered: c.counters.recovered.Load(),
		PromisesWithheld: c.counters.promisesWithheld.Load()}
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
		queued, ejected := svc.load(c.env.Now())
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
	dump.Agents = dump.Agents[:min(len(dump.Agents), maxDumpPeers)]
	c.peers.mu.Lock()
	defer c.peers.mu.Unlock()
	dump.Recoveries = len(c.peers.recoveries)
	for _, id := range slices.Sorted(maps.Keys(c.peers.entries)) {
		link := c.peers.entries[id]
		dump.Entries = append(dump.Entries, EntryDump{Name: link.hello.Name, Incarnation: id.String(),
			Connected: link.connected, SilentMS: wire.Milliseconds(now.Sub(link.lastHeard)), ConfigOffset: link.configOffset})
	}
}

// daemonDump adds what only the process knows.
type daemonDump struct {
	Dump
	// Sources says which file each configured value is from.
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

// configError counts what Apply found. A reader that disagrees with the log or
// with a peer has violated the order of versions.
func (d *Daemon) configError(peer string, err error) {
	var disagreement *config.DisagreementError
	d.observer.Log.Warn().Str("step", "config").Str("peer", peer).Err(err).Msg("configuration record skipped")
	if errors.As(err, &disagreement) {
		d.observer.Violated("G8", "config", peer, err.Error())
	}
}
