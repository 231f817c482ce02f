package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/azurerouter/azurerouter/standin/logservice"
	"github.com/azurerouter/azurerouter/standin/target"
	"github.com/azurerouter/azurerouter/version/config"
)

const (
	// waitLimit bounds every wait for a condition. It is far above what any
	// wait needs, so that only a condition that never holds reaches it.
	waitLimit = 30 * time.Second
	// pollInterval is the pause between two looks at a condition.
	pollInterval = 10 * time.Millisecond
	// clustersAtOnce bounds the processes that run at the same time: a cluster
	// has at most six.
	clustersAtOnce = 6

	slotsPerAgent = 8
	service       = "card"
	team          = "shop"
	configStream  = "config"
)

var clusterSlots = make(chan struct{}, clustersAtOnce)

// cluster is a set of processes with their stand-ins.
type cluster struct {
	t       *testing.T
	dir     string
	log     *logservice.Service
	logURL  string
	targets []*target.Target
	urls    []string
	entries []*process
	agents  []*process
	servers []*httptest.Server
}

// newCluster starts entries and agents, publishes a configuration and waits
// until every entry serves every agent. It ends all of them with the test.
func newCluster(t *testing.T, entries, agents int) *cluster {
	t.Helper()
	t.Parallel()
	clusterSlots <- struct{}{}
	c := &cluster{t: t, dir: t.TempDir()}
	t.Cleanup(func() {
		c.close()
		<-clusterSlots
	})
	c.log = logservice.New(logservice.Settings{Seed: 1})
	c.logURL = c.serve(c.log)
	c.publish(config.Change{ID: "initial", Base: map[string]uint64{"10-card.json": 0}, Put: map[string][]byte{
		"10-card.json": []byte(`{"services":{"card":{"queue_limit":5000}},"teams":{"shop":{"starts_per_second":100000,"burst":100000}}}`)}})
	for i := range entries {
		c.addEntry(i)
	}
	for _, entry := range c.entries {
		entry.start("entry")
	}
	for i := range agents {
		c.addAgent(i)
		c.agents[i].start("agent")
	}
	c.awaitServing()
	return c
}

func (c *cluster) serve(h http.Handler) string {
	server := httptest.NewServer(h)
	c.servers = append(c.servers, server)
	return server.URL
}

// publish appends a change and returns its offset.
func (c *cluster) publish(change config.Change) uint64 {
	c.t.Helper()
	record, err := config.EncodeChange(change)
	if err != nil {
		c.t.Fatal(err)
	}
	response, err := http.Post(c.logURL+"/v1/streams/"+configStream+"/records", "application/cbor", bytes.NewReader(record))
	if err != nil {
		c.t.Fatal(err)
	}
	defer response.Body.Close()
	var appended struct {
		Offset uint64 `json:"offset"`
	}
	if err := json.NewDecoder(response.Body).Decode(&appended); err != nil || response.StatusCode != http.StatusCreated {
		c.t.Fatalf("publication answered %s, %v", response.Status, err)
	}
	return appended.Offset
}

// seeds are the peer addresses of the entries added so far.
func (c *cluster) seeds() []string {
	var seeds []string
	for _, entry := range c.entries {
		seeds = append(seeds, entry.peer)
	}
	return seeds
}

func (c *cluster) newProcess(name string) *process {
	return &process{t: c.t, name: name, admin: freeAddr(c.t), settings: filepath.Join(c.dir, name+".json"),
		logFile: filepath.Join(c.dir, name+".log")}
}

// addEntry writes the settings of an entry; start runs it.
func (c *cluster) addEntry(i int) *process {
	p := c.newProcess("entry-" + string(rune('a'+i)))
	p.http, p.peer = freeAddr(c.t), freeAddr(c.t)
	c.entries = append(c.entries, p)
	writeSettings(c.t, p.settings, map[string]any{"name": p.name, "zone": "zone-1", "http_addr": p.http,
		"peer_addr": p.peer, "admin_addr": p.admin, "log_url": c.logURL, "seeds": c.seeds(), "keys": keyFiles(p.name)})
	return p
}

// addAgent writes the settings of an agent with a target of its own.
func (c *cluster) addAgent(i int) *process {
	p := c.newProcess(fmt.Sprintf("agent-%d", i+1))
	c.targets = append(c.targets, target.New())
	c.urls = append(c.urls, c.serve(c.targets[i]))
	c.agents = append(c.agents, p)
	writeSettings(c.t, p.settings, map[string]any{"name": p.name, "zone": "zone-1", "admin_addr": p.admin,
		"seeds": c.seeds(), "service": service, "target_url": c.urls[i], "slots": slotsPerAgent, "keys": keyFiles(p.name)})
	return p
}

// close checks that no process has counted a violated guarantee, and ends all.
// The stand-ins end last, so that no process logs their end as an outage.
func (c *cluster) close() {
	defer func() {
		for _, server := range c.servers {
			server.CloseClientConnections()
			server.Close()
		}
	}()
	for _, p := range append(c.entries, c.agents...) {
		if p.cmd == nil {
			continue
		}
		// A process that a test left stopped answers no dump.
		p.cmd.Process.Signal(syscall.SIGCONT)
		if d, err := p.readDump(); err == nil {
			for guarantee, count := range d.Violations {
				if count > 0 {
					c.t.Errorf("%s counted %d violations of %s: %s", p.name, count, guarantee, d.LastViolations)
				}
			}
		}
		p.end()
		if c.t.Failed() {
			p.printLog()
		}
	}
}

// await waits until the condition holds.
func (c *cluster) await(what string, condition func() bool) {
	c.t.Helper()
	deadline := time.Now().Add(waitLimit)
	for !condition() {
		if time.Now().After(deadline) {
			c.t.Fatalf("waited %v in vain until %s", waitLimit, what)
		}
		time.Sleep(pollInterval)
	}
}

// dump is the part of /dump that the tests read.
type dump struct {
	Ready          string            `json:"ready"`
	Violations     map[string]uint64 `json:"violations"`
	LastViolations []json.RawMessage `json:"last_violations"`
	State          struct {
		Incarnation  string `json:"incarnation"`
		ConfigOffset uint64 `json:"config_offset"`
		Running      int    `json:"running"`
		Agents       []struct {
			Name        string `json:"name"`
			Incarnation string `json:"incarnation"`
			Serving     bool   `json:"serving"`
		} `json:"agents"`
		Entries json.RawMessage `json:"entries"`
		// Senders are the entries that an agent knows; Open is how many tasks
		// it holds for one, ended or not.
		Senders []struct {
			Open int `json:"open"`
		} `json:"senders"`
		// Jobs counts the jobs of each shard by phase.
		Jobs []map[string]int `json:"jobs"`
	} `json:"state"`
}

var adminClient = &http.Client{Timeout: 5 * time.Second}

func (p *process) readDump() (dump, error) {
	var d dump
	response, err := adminClient.Get("http://" + p.admin + "/dump")
	if err != nil {
		return d, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return d, fmt.Errorf("dump answered %s", response.Status)
	}
	return d, json.NewDecoder(response.Body).Decode(&d)
}

// serves reports whether the entry sends to an agent of this name. An agent that
// was started again has another incarnation; except names one to leave out.
func (p *process) serves(agent, except string) bool {
	d, err := p.readDump()
	if err != nil {
		return false
	}
	for _, a := range d.State.Agents {
		if a.Name == agent && a.Serving && a.Incarnation != except {
			return true
		}
	}
	return false
}

// awaitServing waits until every entry that runs is ready, sends to every agent
// and is connected to every other entry.
func (c *cluster) awaitServing() {
	c.t.Helper()
	for _, entry := range c.entries {
		c.await(entry.name+" serves all agents and knows all entries", func() bool {
			d, err := entry.readDump()
			if err != nil || d.Ready != "yes" || strings.Count(string(d.State.Entries), `"connected":true`) != len(c.entries)-1 {
				return false
			}
			for _, agent := range c.agents {
				if !entry.serves(agent.name, "") {
					return false
				}
			}
			return true
		})
	}
}

// control posts to the control endpoint of a stand-in.
func (c *cluster) control(url string, fields map[string]any) {
	c.t.Helper()
	body, _ := json.Marshal(fields)
	response, err := adminClient.Post(url+"/control", "application/json", bytes.NewReader(body))
	if err != nil {
		c.t.Fatal(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(response.Body)
		c.t.Fatalf("control answered %s: %s", response.Status, text)
	}
}

func (c *cluster) controlLog(fields map[string]any) {
	c.t.Helper()
	c.control(c.logURL, fields)
}

// starts reads how often each task was started, by the targets' own records.
func (c *cluster) starts() map[string]int {
	c.t.Helper()
	sum := make(map[string]int)
	for i := range c.targets {
		for task, count := range c.startsAt(i) {
			sum[task] += count
		}
	}
	return sum
}

func (c *cluster) startsAt(i int) map[string]int {
	c.t.Helper()
	response, err := adminClient.Get(c.urls[i] + "/control/starts")
	if err != nil {
		c.t.Fatal(err)
	}
	defer response.Body.Close()
	var starts target.Starts
	if err := json.NewDecoder(response.Body).Decode(&starts); err != nil {
		c.t.Fatal(err)
	}
	return starts.Tasks
}

// context bounds the calls of a test.
func (c *cluster) context() context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), 2*waitLimit)
	c.t.Cleanup(cancel)
	return ctx
}
