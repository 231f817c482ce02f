// Package settings reads the settings of one process: its addresses, its
// availability zone and its keys. They are read once when the process starts,
// unlike the published configuration of package config.
package settings

import (
	"encoding/json"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tailscale/hujson"

	"github.com/azurerouter/azurerouter/connection/peer"
)

// Defaults of optional settings.
const (
	DefaultDrainTimeoutMS = 30_000
	// DefaultBacklog is the backlog, in tasks, that an agent uses until it has
	// received the configuration.
	DefaultBacklog  = 2
	DefaultMaxConns = 60
)

// Entry holds the settings of an entry process.
type Entry struct {
	// Name identifies the instance in logs and dumps.
	Name string `json:"name"`
	// Zone is the availability zone.
	Zone string `json:"zone"`
	// HTTPAddr is where callers connect, as IP:port.
	HTTPAddr string `json:"http_addr"`
	// PeerAddr is where agents and other entries connect, as IP:port (UDP).
	PeerAddr string `json:"peer_addr"`
	// AdminAddr serves operators, as IP:port on a loopback address.
	AdminAddr string `json:"admin_addr"`
	// LogURL is the base URL of the platform's log service.
	LogURL string `json:"log_url"`
	// Seeds are peer addresses of entries, or of the balancer before them.
	Seeds []string      `json:"seeds"`
	Keys  peer.KeyFiles `json:"keys"`
	// DrainTimeoutMS is the time limit of a graceful shutdown, in milliseconds.
	DrainTimeoutMS int64 `json:"drain_timeout_ms"`
	// InstanceMemoryMB is the memory of the instance, in MB, or zero if it is not set.
	InstanceMemoryMB int64 `json:"instance_memory_mb"`
}

// Agent holds the settings of an agent process.
type Agent struct {
	// Name identifies the instance in logs and dumps.
	Name string `json:"name"`
	// Zone is the availability zone.
	Zone string `json:"zone"`
	// AdminAddr serves operators, as IP:port on a loopback address.
	AdminAddr string `json:"admin_addr"`
	// Seeds are peer addresses of entries, or of the balancer before them.
	Seeds []string      `json:"seeds"`
	Keys  peer.KeyFiles `json:"keys"`
	// Service is the service that the target belongs to.
	Service string `json:"service"`
	// TargetURL is the base URL of the target.
	TargetURL string `json:"target_url"`
	// Slots is how many tasks the target runs at once.
	Slots int `json:"slots"`
	// MaxConns limits the number of connections to the target.
	MaxConns int `json:"max_conns"`
	// MemoryMB and Accelerators are what one task can use at the target.
	MemoryMB     int `json:"memory_mb"`
	Accelerators int `json:"accelerators"`
	// DrainTimeoutMS is the time limit of a graceful shutdown, in milliseconds.
	DrainTimeoutMS int64 `json:"drain_timeout_ms"`
}

// DrainTimeout returns the time limit of a graceful shutdown.
func (e *Entry) DrainTimeout() time.Duration {
	return time.Duration(e.DrainTimeoutMS) * time.Millisecond
}

// DrainTimeout returns the time limit of a graceful shutdown.
func (a *Agent) DrainTimeout() time.Duration {
	return time.Duration(a.DrainTimeoutMS) * time.Millisecond
}

// LoadEntry reads and checks the settings of an entry. An error in a value names
// the file, the line, the field and the expected values.
func LoadEntry(path string) (*Entry, error) {
	settings := &Entry{DrainTimeoutMS: DefaultDrainTimeoutMS}
	return settings, load(path, ProcessEntry, settings)
}

// LoadAgent reads and checks the settings of an agent. An error in a value names
// the file, the line, the field and the expected values.
func LoadAgent(path string) (*Agent, error) {
	settings := &Agent{DrainTimeoutMS: DefaultDrainTimeoutMS, MaxConns: DefaultMaxConns}
	return settings, load(path, ProcessAgent, settings)
}

func load(path string, process Process, into any) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "settings")
	}
	return errors.Wrap(decode(text, process, into), path)
}

func decode(text []byte, process Process, into any) error {
	root, err := hujson.Parse(text)
	if err != nil {
		return err
	}
	if err := check(root, text, process); err != nil {
		return err
	}
	root.Standardize()
	return json.Unmarshal(root.Pack(), into)
}
