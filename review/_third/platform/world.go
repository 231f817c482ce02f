// Package main plays the cases of the third review. It starts the project's own
// programs as separate processes on loopback addresses, with stand-ins of the
// store, the executors and the clients, and checks one rule from what clients and
// executors see.
package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/azurerouter/azurerouter/platform/platformtest"
	"github.com/azurerouter/azurerouter/request/batch"
	"github.com/azurerouter/azurerouter/standin/executor"
)

// Names and ports of the deployment. All machines use the same ports.
const (
	service      = "ledger"
	host         = "office.example"
	prefix       = "/q/"
	callerPort   = 8161
	readyPort    = 8167
	controlPort  = 8166
	linkPort     = 7720
	metricsPort  = 9102
	beatInterval = 1500 * time.Millisecond
	restartDelay = 200 * time.Millisecond
	startTimeout = 15 * time.Second
)

// Exit codes of a case.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// cannotRun ends a case that could not be played.
type cannotRun struct{ reason string }

func fail(format string, args ...any) { panic(cannotRun{fmt.Sprintf(format, args...)}) }

// world is one small deployment.
type world struct {
	dir     string
	network string
	store   *platformtest.Store
	start   time.Time

	entries []*process
	workers []*worker

	recordMu sync.Mutex
	record   io.Writer

	closing    chan struct{}
	closeOnce  sync.Once
	background sync.WaitGroup
}

// note writes one line to the record.
func (w *world) note(format string, args ...any) {
	w.recordMu.Lock()
	defer w.recordMu.Unlock()
	fmt.Fprintf(w.record, "%8.3f  %s\n", time.Since(w.start).Seconds(), fmt.Sprintf(format, args...))
}

// newWorld starts the store and publishes the first configuration.
func newWorld(record io.Writer) *world {
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		fail("temporary folder: %v", err)
	}
	w := &world{dir: dir, network: freeNetwork(), store: platformtest.NewStore(), start: time.Now(), record: record, closing: make(chan struct{})}
	w.store.SetPages(500, 0)
	return w
}

// freeNetwork returns the prefix of a loopback network whose ports are free.
func freeNetwork() string {
	for range 100 {
		network := fmt.Sprintf("127.%d.%d", 60+rand.IntN(180), 1+rand.IntN(250))
		free := true
		for _, port := range []int{callerPort, readyPort, controlPort, linkPort, metricsPort} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s.1:%d", network, port))
			if err != nil {
				free = false
				break
			}
			l.Close()
		}
		if free {
			return network
		}
	}
	fail("no free loopback network")
	return ""
}

func (w *world) ip(machine int) string { return fmt.Sprintf("%s.%d", w.network, machine) }

func (w *world) addr(machine, port int) string { return fmt.Sprintf("%s:%d", w.ip(machine), port) }

// queue is one queue of the configuration.
type queue struct {
	Name            string  `json:"name"`
	Host            string  `json:"host"`
	PathPrefix      string  `json:"pathPrefix"`
	TimeoutMs       int     `json:"timeoutMs"`
	TargetLatencyMs int     `json:"targetLatencyMs"`
	Service         string  `json:"service"`
	MaxAttempts     int     `json:"maxAttempts"`
	Stretch         float64 `json:"stretch"`
}

// publish writes a configuration as the operator does.
func (w *world) publish(version int, queues ...queue) {
	data, err := json.Marshal(map[string]any{"version": version, "services": []map[string]any{{"name": service, "preconditions": true}},
		"limits": map[string]any{"maxBodyBytes": 262144}, "routes": queues})
	if err != nil {
		fail("configuration: %v", err)
	}
	w.store.Put("keyed.op", "config", data)
	w.note("operator: configuration %d is stored", version)
}

// settings writes the settings file of a machine.
func (w *world) settings(name string, fields map[string]any, machine int, class string) string {
	fields["node"], fields["ip"], fields["machineClass"] = name, w.ip(machine), class
	fields["internalPorts"] = []int{linkPort, linkPort + 15}
	fields["seeds"] = []string{w.addr(1, controlPort), w.addr(2, controlPort)}
	fields["heartbeatMs"] = beatInterval.Milliseconds()
	fields["region"] = "r"
	fields["controlMode"] = "rpc"
	fields["bootstrap"] = true
	fields["bounds"] = map[string]any{"graceS": 6, "retryMs": 1300, "maxHoldMs": 1000, "stopGraceMs": 50, "remoteFactor": 1.5, "contactMs": 3000,
		"ackMs": 4000, "cancel_ms": 3000, "visible_ms": 3000, "drainMs": 2000}
	fields["platform"] = map[string]any{"address": w.store.Addr(), "form": "log", "writesPerS": 800, "readsPerS": 2000}
	data, err := json.MarshalIndent(fields, "", " ")
	if err != nil {
		fail("settings: %v", err)
	}
	path := filepath.Join(w.dir, name+".json")
	if err := os.WriteFile(path, data, 0o644); err != nil {
		fail("settings: %v", err)
	}
	return path
}

// process is one of the project's processes, which is started again when it ends.
type process struct {
	w        *world
	name     string
	machine  int
	role     string
	settings string

	mu      sync.Mutex
	cmd     *exec.Cmd
	starts  int
	stopped bool
	// notBefore delays the next start.
	notBefore time.Time
	ended     chan struct{}
}

// program is the path of the program under test, as built by the deploy file.
var program = "target/azurerouter"

func (w *world) startProcess(p *process) {
	p.w, p.ended = w, make(chan struct{})
	first := make(chan error, 1)
	go p.supervise(first)
	if err := <-first; err != nil {
		fail("start %s: %v", p.name, err)
	}
}

func (p *process) supervise(first chan error) {
	defer close(p.ended)
	for {
		p.mu.Lock()
		if p.stopped {
			p.mu.Unlock()
			return
		}
		p.starts++
		log, err := os.Create(filepath.Join(p.w.dir, fmt.Sprintf("%s-%d.log", p.name, p.starts)))
		if err == nil {
			p.cmd = exec.Command(program, p.role, "-platform", "-metrics", p.w.addr(p.machine, metricsPort))
			p.cmd.Env = append(os.Environ(), "AZUREROUTER_CONFIG="+p.settings)
			p.cmd.Stdout, p.cmd.Stderr = log, log
			err = p.cmd.Start()
		}
		cmd := p.cmd
		p.mu.Unlock()
		if first != nil {
			first <- err
			first = nil
		}
		if err != nil {
			return
		}
		err = cmd.Wait()
		log.Close()
		p.mu.Lock()
		stopped := p.stopped
		p.mu.Unlock()
		if stopped {
			return
		}
		p.w.note("process %s ended: %v", p.name, err)
		time.Sleep(restartDelay)
		p.mu.Lock()
		wait := time.Until(p.notBefore)
		p.mu.Unlock()
		time.Sleep(wait)
	}
}

func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil && p.cmd.Process != nil {
		_ = p.cmd.Process.Signal(s)
	}
}

// kill ends the process with SIGKILL. It starts again after the downtime.
func (p *process) kill(downtime time.Duration) {
	p.mu.Lock()
	p.notBefore = time.Now().Add(downtime)
	p.mu.Unlock()
	p.signal(syscall.SIGKILL)
}

// end stops the process for good.
func (p *process) end() {
	p.mu.Lock()
	p.stopped = true
	p.mu.Unlock()
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	<-p.ended
}

// addEntry starts an entry on a machine.
func (w *world) addEntry(machine int) *process {
	name := fmt.Sprintf("frontend-a-%d", machine)
	p := &process{name: name, machine: machine, role: "entry"}
	p.settings = w.settings(name, map[string]any{"role": "entry", "zone": "a", "serves": []string{"frontend", "control_plane"},
		"listenAddrs": map[string]string{"frontendAddr": w.addr(machine, callerPort), "readinessAddr": w.addr(machine, readyPort), "control": w.addr(machine, controlPort)},
		"limits":      map[string]any{"cpuShare": 0.4, "vcpus": 1, "memoryMb": 284, "maxFds": 4100}}, machine, "frontend")
	w.startProcess(p)
	w.entries = append(w.entries, p)
	return p
}

// worker is an executor with the agent beside it.
type worker struct {
	w        *world
	agent    *process
	machine  int
	executor *platformtest.Executor
	// calls relays the calls of the agent to the executor.
	calls *relay

	mu       sync.Mutex
	labels   []string
	state    string
	sequence int
	down     bool
}

// addWorker starts an executor and its agent.
func (w *world) addWorker(machine int, room batch.Resources, labels []string, work func(batch.Task) executor.Work) *worker {
	k := &worker{w: w, machine: machine, labels: labels, state: "ready",
		executor: platformtest.NewExecutor(fmt.Sprintf("i-%04x", machine), service, room, work)}
	k.calls = newRelay(k.executor.Addr())
	name := fmt.Sprintf("side-a-%d", machine)
	k.agent = &process{name: name, machine: machine, role: "agent"}
	k.agent.settings = w.settings(name, map[string]any{"role": "agent", "zone": "a", "serves": []string{"side"}, "app": k.calls.addr(), "service": service,
		"listenAddrs": map[string]string{"control": w.addr(machine, controlPort)},
		"limits":      map[string]any{"cpuShare": 0.24, "vcpus": 1, "memoryMb": 152, "maxFds": 4096}}, machine, "side")
	w.startProcess(k.agent)
	w.workers = append(w.workers, k)
	w.background.Add(1)
	go func() {
		defer w.background.Done()
		for {
			k.beat()
			select {
			case <-w.closing:
				return
			case <-time.After(beatInterval):
			}
		}
	}()
	return k
}

var beatClient = &http.Client{Timeout: time.Second}

// beat sends one heartbeat of the executor, unless it is down.
func (k *worker) beat() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.down {
		return
	}
	k.sequence++
	var id string
	var born int64
	var room batch.Resources
	k.executor.Do(func(e *executor.Executor) { id, born, room = e.ID, e.StartedAtMS, e.Capacity })
	body, _ := json.Marshal(map[string]any{"service": service, "address": k.executor.Addr(), "zone": "a", "version": "v1", "capacity": 8,
		"state": k.state, "coldRemainingMs": 0, "room": map[string]int{"cpu": room.MilliCPU, "memMb": room.MemoryMiB, "gpu": 0},
		"labels": k.labels, "clockMs": time.Now().UnixMilli() - born, "sequence": k.sequence, "born": born})
	response, err := beatClient.Post("http://"+k.w.addr(k.machine, controlPort)+"/v1/Instances.Heartbeat/"+id, "application/json", strings.NewReader(string(body)))
	if err == nil {
		_, _ = io.Copy(io.Discard, response.Body)
		response.Body.Close()
	}
}

// crash ends all that runs on the executor. It answers no calls until it restarts.
func (k *worker) crash() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.down = true
	k.executor.Do(func(e *executor.Executor) { e.Crash() })
}

// restart starts a new life of the executor, under the id that it had or a new one, with the
// given labels, which sends its first heartbeat at once.
func (k *worker) restart(newID bool, labels []string) {
	k.mu.Lock()
	k.executor.Restart(newID)
	k.down, k.sequence, k.labels = false, 0, labels
	k.mu.Unlock()
	k.beat()
}

// id returns the id of the executor's present life.
func (k *worker) id() (id string) {
	k.executor.Do(func(e *executor.Executor) { id = e.ID })
	return id
}

// awaitReady waits until every entry is ready.
func (w *world) awaitReady() {
	for deadline := time.Now().Add(startTimeout); ; time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, e := range w.entries {
			if response, err := beatClient.Get("http://" + w.addr(e.machine, readyPort) + "/v1/ready"); err == nil {
				response.Body.Close()
				if response.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == len(w.entries) {
			w.note("all entries are ready")
			return
		}
		if time.Now().After(deadline) {
			fail("entries are not ready after %v", startTimeout)
		}
	}
}

// close ends all processes and removes the temporary folder.
func (w *world) close() { w.closeOnce.Do(w.closeAll) }

func (w *world) closeAll() {
	close(w.closing)
	w.background.Wait()
	var ending sync.WaitGroup
	end := func(p *process) {
		ending.Add(1)
		go func() {
			defer ending.Done()
			p.end()
		}()
	}
	for _, p := range w.entries {
		end(p)
	}
	for _, k := range w.workers {
		end(k.agent)
	}
	ending.Wait()
	for _, k := range w.workers {
		k.calls.stop()
		k.executor.Stop()
	}
	w.store.Stop()
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Fprintln(os.Stderr, "logs:", w.dir)
	}
}

// newID returns a job ID.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// call sends one request of a client and returns the status, or 0 without an answer.
func (w *world) call(client *http.Client, machine int, method, path, body string, wait time.Duration) (int, string) {
	request, err := http.NewRequest(method, "http://"+w.addr(machine, callerPort)+path, strings.NewReader(body))
	if err != nil {
		fail("request: %v", err)
	}
	request.Host = host
	if body != "" {
		request.Header.Set("Content-Type", "application/json")
	}
	request.Header.Set("Azurerouter-Deadline-Ms", fmt.Sprint(wait.Milliseconds()))
	response, err := client.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, string(data)
}

// observe calls the functions at each start and end of a run, in this life of the executor and
// later ones. They must not call the executor.
func (k *worker) observe(onStart func(batch.Run), onEnd func(batch.Run, batch.End)) {
	k.executor.Do(func(e *executor.Executor) { e.OnStart, e.OnEnd = onStart, onEnd })
}
