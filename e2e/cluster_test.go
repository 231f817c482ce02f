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
	// waitTimeout limits every wait for a condition. It is far longer than any
	// wait needs, so that only a condition that never holds exceeds it.
	waitTimeout = 30 * time.Second
	// pollInterval is the time between two checks of a condition.
	pollInterval = 10 * time.Millisecond
	// maxClusters is the number of clusters that run at the same time. It limits
	// the number of processes; a cluster has at most six.
	maxClusters = 6

	slotsPerAgent = 8
	service       = "card"
	team          = "shop"
	configStream  = "config"
)

var clusterSemaphore = make(chan struct{}, maxClusters)

// cluster is a set of entries and agents with their log service and targets, which
// are stand-ins in the process of the test.
type cluster struct {
	t          *testing.T
	dir        string
	log        *logservice.Service
	logURL     string
	targets    []*target.Target
	targetURLs []string
	entries    []*process
	agents     []*process
	servers    []*httptest.Server
}

// newCluster publishes a configuration, starts entries and agents, and waits until
// every entry sends tasks to every agent. The processes are killed at the end of
// the test.
func newCluster(t *testing.T, entries, agents int) *cluster {
	t.Helper()
	t.Parallel()
	clusterSemaphore <- struct{}{}
	c := &cluster{t: t, dir: t.TempDir()}
	t.Cleanup(func() {
		c.close()
		<-clusterSemaphore
	})
	c.log = logservice.New(logservice.Settings{Seed: 1})
	c.logURL = c.serveHTTP(c.log)
	c.publish(config.Change{ID: "initial", BaseVersions: map[string]uint64{"10-card.json": 0}, Put: map[string][]byte{
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

// serveHTTP serves a stand-in on loopback and returns its URL.
func (c *cluster) serveHTTP(h http.Handler) string {
	server := httptest.NewServer(h)
	c.servers = append(c.servers, server)
	return server.URL
}

// publish appends a change to the config stream and returns its offset.
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
		c.t.Fatalf("publish change %q: status %s, %v", change.ID, response.Status, err)
	}
	return appended.Offset
}

// seeds returns the peer addresses of the entries added so far.
func (c *cluster) seeds() []string {
	var seeds []string
	for _, entry := range c.entries {
		seeds = append(seeds, entry.peerAddr)
	}
	return seeds
}

// newProcess returns a process whose settings and log are in the cluster's folder.
func (c *cluster) newProcess(name string) *process {
	return &process{t: c.t, name: name, adminAddr: freeAddr(c.t), settingsFile: filepath.Join(c.dir, name+".json"),
		logFile: filepath.Join(c.dir, name+".log")}
}

// addEntry adds an entry and writes its settings. It does not start it.
func (c *cluster) addEntry(i int) *process {
	p := c.newProcess("entry-" + string(rune('a'+i)))
	p.httpAddr, p.peerAddr = freeAddr(c.t), freeAddr(c.t)
	c.entries = append(c.entries, p)
	writeSettings(c.t, p.settingsFile, map[string]any{"name": p.name, "zone": "zone-1", "http_addr": p.httpAddr,
		"peer_addr": p.peerAddr, "admin_addr": p.adminAddr, "log_url": c.logURL, "seeds": c.seeds(), "keys": keyFiles(p.name)})
	return p
}

// addAgent adds an agent with its own target and writes its settings. It does not
// start the agent.
func (c *cluster) addAgent(i int) *process {
	p := c.newProcess(fmt.Sprintf("agent-%d", i+1))
	c.targets = append(c.targets, target.New())
	c.targetURLs = append(c.targetURLs, c.serveHTTP(c.targets[i]))
	c.agents = append(c.agents, p)
	writeSettings(c.t, p.settingsFile, map[string]any{"name": p.name, "zone": "zone-1", "admin_addr": p.adminAddr,
		"seeds": c.seeds(), "service": service, "target_url": c.targetURLs[i], "slots": slotsPerAgent, "keys": keyFiles(p.name)})
	return p
}

// close checks that no process has counted a violation of a guarantee, and kills all
// processes. The stand-ins are closed last, so that no process logs an outage.
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
		// A process that a test left suspended would not answer the dump.
		p.cmd.Process.Signal(syscall.SIGCONT)
		if d, err := p.readDump(); err == nil {
			for guarantee, count := range d.Violations {
				if count > 0 {
					c.t.Errorf("%s counted %d violations of %s: %s", p.name, count, guarantee, d.LastViolations)
				}
			}
		}
		p.kill()
		if c.t.Failed() {
			p.printLog()
		}
	}
}

// await waits until the condition holds, and fails the test after waitTimeout.
func (c *cluster) await(description string, condition func() bool) {
	c.t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			c.t.Fatalf("timed out after %v waiting until %s", waitTimeout, description)
		}
		time.Sleep(pollInterval)
	}
}

// dump is the part of the response of /dump that the tests use.
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
		// Senders are the entries of which an agent keeps a state. Open is the
		// number of tasks that it holds for one, ended or not.
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
	response, err := adminClient.Get("http://" + p.adminAddr + "/dump")
	if err != nil {
		return d, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return d, fmt.Errorf("GET /dump: status %s", response.Status)
	}
	return d, json.NewDecoder(response.Body).Decode(&d)
}

// servesAgent reports whether the entry sends tasks to an agent of this name whose
// incarnation is not except. A restarted agent has a new incarnation.
func (p *process) servesAgent(agent, except string) bool {
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

// awaitServing waits until every entry is ready, sends tasks to every agent and is
// connected to every other entry.
func (c *cluster) awaitServing() {
	c.t.Helper()
	for _, entry := range c.entries {
		c.await(entry.name+" serves all agents and is connected to all entries", func() bool {
			d, err := entry.readDump()
			if err != nil || d.Ready != "yes" || strings.Count(string(d.State.Entries), `"connected":true`) != len(c.entries)-1 {
				return false
			}
			for _, agent := range c.agents {
				if !entry.servesAgent(agent.name, "") {
					return false
				}
			}
			return true
		})
	}
}

// postControl posts fields to the control endpoint of a stand-in.
func (c *cluster) postControl(url string, fields map[string]any) {
	c.t.Helper()
	body, _ := json.Marshal(fields)
	response, err := adminClient.Post(url+"/control", "application/json", bytes.NewReader(body))
	if err != nil {
		c.t.Fatal(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(response.Body)
		c.t.Fatalf("POST %s/control: status %s: %s", url, response.Status, text)
	}
}

// postLogControl posts fields to the control endpoint of the log service.
func (c *cluster) postLogControl(fields map[string]any) {
	c.t.Helper()
	c.postControl(c.logURL, fields)
}

// starts returns how often each task was started, as recorded by the targets.
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

// startsAt returns how often each task was started at target i.
func (c *cluster) startsAt(i int) map[string]int {
	c.t.Helper()
	response, err := adminClient.Get(c.targetURLs[i] + "/control/starts")
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

// context returns a context that limits the time of all calls of a test.
func (c *cluster) context() context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), 2*waitTimeout)
	c.t.Cleanup(cancel)
	return ctx
}
