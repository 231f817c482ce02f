package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/azurerouter/azurerouter/platform/platformtest"
)

const (
	service    = "rotadienst"
	host       = "nony24.example"
	prefix     = "/lohu930/"
	linkPort   = 7720
	retryAfter = 1300 * time.Millisecond
	storeDelay = 2 * time.Millisecond
)

// fleet is a small deployment: three frontends and some side machines with executors.
type fleet struct {
	w       *world
	dir     string
	program string
	network string
	store   *platformtest.Store
	fronts  []*front
	sides   []*side
	version int
}

// front is a frontend machine with the proxies around it.
type front struct {
	*process
	// clients, links and store carry the connections of clients, of the other machines
	// of the system, and to the store.
	clients, links, store *proxy
	ready                 string
}

// side is a side machine.
type side struct {
	*process
	*executor
}

// process is an entry or an agent, which is started again whenever it has ended.
type process struct {
	w        *world
	name     string
	program  string
	args     []string
	settings map[string]any
	path     string
	logPath  string

	mu      sync.Mutex
	command *exec.Cmd
	pause   time.Duration
	stopped bool
	ended   chan struct{}
}

// newFleet starts a deployment on loopback addresses of its own.
func newFleet(w *world, fronts, sides int) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	f := &fleet{w: w, dir: dir, store: platformtest.NewStore()}
	f.store.SetPages(500, 0)
	if f.program, err = filepath.Abs(os.Getenv("PROGRAM")); err != nil {
		return nil, err
	}
	f.network = fmt.Sprintf("127.%d.%d", 30+rand.IntN(200), 1+rand.IntN(250))
	f.publish()
	if err := f.startAll(fronts, sides); err != nil {
		return f, err
	}
	go w.advanceAll()
	return f, f.awaitReady()
}

// startAll starts the machines. After an error some of them run.
func (f *fleet) startAll(fronts, sides int) error {
	if err := f.serveMachines(); err != nil {
		return err
	}
	seeds := []string{}
	for n := range fronts {
		seeds = append(seeds, f.at(101+n, 8166))
	}
	for n := range sides {
		if err := f.addSide(n, seeds); err != nil {
			return err
		}
	}
	for n := range fronts {
		if err := f.addFront(n, seeds); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) at(machine, port int) string {
	return fmt.Sprintf("%s.%d:%d", f.network, machine, port)
}

// publish writes the first configuration.
func (f *fleet) publish() {
	f.version++
	data, _ := json.Marshal(map[string]any{"version": f.version,
		"routes": []map[string]any{{"name": "r-3hwrr6x", "host": host, "pathPrefix": prefix, "type": "non_idempotent", "timeoutMs": 1500,
			"targetLatencyMs": 60, "priority": 0, "service": service, "maxAttempts": 4, "stretch": 1.6}},
		"services": []map[string]any{{"name": service, "healthPath": "/health", "maxConns": 64, "protocol": "h1", "tls": false, "preconditions": true, "standby": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}})
	f.store.Put("keyed.op", "config", data)
}

// serveMachines serves the platform's list of machines.
func (f *fleet) serveMachines() error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/machines", func(rw http.ResponseWriter, _ *http.Request) {
		machines := []map[string]any{}
		f.w.mu.Lock()
		for _, e := range f.w.executors {
			if e.up {
				machines = append(machines, map[string]any{"machine": e.machine, "pool": service, "state": "up", "zone": "a", "labels": []string{"a", "r1-1"},
					"room": map[string]int{"cpu": e.cpu, "memMb": 65536, "gpu": 0}, "id": e.id})
			}
		}
		f.w.mu.Unlock()
		rw.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(rw).Encode(map[string]any{"machines": machines, "nextPageToken": nil})
	})
	server := &http.Server{Addr: f.at(201, 8169), Handler: mux}
	failed := make(chan error, 1)
	go func() { failed <- server.ListenAndServe() }()
	select {
	case err := <-failed:
		return err
	case <-time.After(50 * time.Millisecond):
		return nil
	}
}

// settingsOf returns the settings that a machine of either class gets.
func (f *fleet) settingsOf(name, class, ip string, seeds []string, store string) map[string]any {
	bounds := map[string]any{"seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": 6, "lossSlackMs": 200,
		"configApplyMs": 2000, "rollbackSlackMs": 250, "maxStretchMs": 5000, "recoveryS": 12, "maxHoldMs": 1000, "stopGraceMs": 50, "gangTimeoutMs": 3000,
		"cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250, "finish_s": 14, "status_s": 120, "enforceFencing": false, "leaseMs": 3000, "retryMs": 1300}
	return map[string]any{"node": name, "machineClass": class, "ip": ip, "zone": "a", "region": "r", "internalPorts": []int{linkPort, linkPort + 15}, "seeds": seeds,
		"bootstrap": true, "limits": map[string]any{"cpuShare": 0.4, "vcpus": 1, "memoryMb": 284, "maxFds": 4100}, "heartbeatMs": heartbeat.Milliseconds(),
		"controlMode": "rpc", "bounds": bounds, "platform": map[string]any{"address": store, "form": "log", "writesPerS": 800, "readsPerS": 2000, "parts": 24},
		"cloud": map[string]any{"address": f.at(201, 8169), "perS": 60.0}}
}

func (f *fleet) addFront(n int, seeds []string) error {
	machine, name := 1+n, fmt.Sprintf("frontend-%d", n+1)
	r := &front{ready: f.at(machine, 8167)}
	var errs [3]error
	r.clients, errs[0] = newProxy(f.at(101+n, 8161), f.at(machine, 8161), 0)
	r.links, errs[1] = newProxy(f.at(101+n, linkPort), f.at(machine, linkPort), 0)
	r.store, errs[2] = newProxy(f.at(101+n, 8169), f.store.Addr(), storeDelay)
	if err := errors.Join(errs[:]...); err != nil {
		return err
	}
	settings := f.settingsOf(name, "frontend", fmt.Sprintf("%s.%d", f.network, machine), seeds, r.store.listener.Addr().String())
	settings["listenAddrs"] = map[string]string{"frontendAddr": f.at(machine, 8161), "readinessAddr": r.ready, "control": f.at(machine, 8166)}
	r.process = f.newProcess(name, settings, "entry", "-platform", "-metrics", f.at(machine, 9102), "-advertise", r.links.listener.Addr().String())
	if err := r.process.run(); err != nil {
		return err
	}
	f.fronts = append(f.fronts, r)
	return nil
}

func (f *fleet) addSide(n int, seeds []string) error {
	machine, name := 51+n, fmt.Sprintf("side-%d", n+1)
	s := &side{}
	s.executor = f.w.addExecutor(name, f.at(machine, 8080), f.at(machine, 8166), service, 16000)
	settings := f.settingsOf(name, "side", fmt.Sprintf("%s.%d", f.network, machine), seeds, f.store.Addr())
	settings["listenAddrs"] = map[string]string{"control": f.at(machine, 8166)}
	settings["app"], settings["service"] = s.executor.addr, service
	s.process = f.newProcess(name, settings, "agent", "-platform", "-metrics", f.at(machine, 9102))
	if err := s.executor.startLife(); err != nil {
		return err
	}
	if err := s.process.run(); err != nil {
		return err
	}
	f.sides = append(f.sides, s)
	return nil
}

func (f *fleet) newProcess(name string, settings map[string]any, args ...string) *process {
	return &process{w: f.w, name: name, program: f.program, args: args, settings: settings, path: filepath.Join(f.dir, name+".json"),
		logPath: filepath.Join(f.dir, name+".log"), pause: 100 * time.Millisecond, ended: make(chan struct{})}
}

// run starts the process and keeps it running.
func (p *process) run() error {
	if err := p.start(); err != nil {
		return err
	}
	go func() {
		defer close(p.ended)
		for {
			err := p.command.Wait()
			p.mu.Lock()
			stopped, pause := p.stopped, p.pause
			p.mu.Unlock()
			if stopped {
				return
			}
			p.w.log("process %s ended: %v", p.name, err)
			time.Sleep(pause)
			p.settings["bootstrap"] = false
			if err := p.start(); err != nil {
				p.w.log("process %s doesn't start: %v", p.name, err)
				return
			}
		}
	}()
	return nil
}

func (p *process) start() error {
	data, err := json.Marshal(p.settings)
	if err != nil {
		return err
	}
	if err := os.WriteFile(p.path, data, 0o644); err != nil {
		return err
	}
	log, err := os.OpenFile(p.logPath, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopped {
		return errors.New("stopped")
	}
	p.command = exec.Command(p.program, p.args...)
	p.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "AZUREROUTER_CONFIG=" + p.path}
	p.command.Stdout, p.command.Stderr = log, log
	p.w.log("process %s starts", p.name)
	return p.command.Start()
}

// signal sends a signal to the running process.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.w.log("disruption: %s gets %v", p.name, s)
	_ = p.command.Process.Signal(s)
}

// close ends the process for good.
func (p *process) close() {
	p.mu.Lock()
	p.stopped = true
	_ = p.command.Process.Kill()
	p.mu.Unlock()
	<-p.ended
}

// close ends all processes. The logs stay if KEEP is set.
func (f *fleet) close() {
	for _, r := range f.fronts {
		r.process.close()
	}
	for _, s := range f.sides {
		s.process.close()
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(f.dir)
	} else {
		fmt.Println("logs in", f.dir)
	}
}

// awaitReady waits until every entry is ready, and some seconds more, as on the
// platform traffic starts after the machines.
func (f *fleet) awaitReady() error {
	client := &http.Client{Timeout: time.Second}
	for deadline := time.Now().Add(20 * time.Second); ; time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, r := range f.fronts {
			response, err := client.Get("http://" + r.ready + "/v1/ready")
			if err != nil {
				continue
			}
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				ready++
			}
		}
		if ready == len(f.fronts) {
			break
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("%d of %d entries are ready", ready, len(f.fronts))
		}
	}
	time.Sleep(4 * time.Second)
	f.w.log("all entries are ready")
	return nil
}

// troubled reports whether the case is played with its disruption.
func troubled() bool { return os.Getenv("TROUBLE") != "0" }

// troubledBy reports whether one of several disruptions is played: all of them, unless
// TROUBLE names one.
func troubledBy(name string) bool {
	only := os.Getenv("TROUBLE")
	return only == "" || only == "1" || only == name
}

// seed returns the seed of the random choices of the case.
func seed() uint64 {
	if n, err := strconv.ParseUint(os.Getenv("SEED"), 10, 64); err == nil {
		return n
	}
	return uint64(time.Now().UnixNano())
}
