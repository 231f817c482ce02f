package settings

import (
	"fmt"
	"net/netip"
	"net/url"
)

// Process is the kind of process that a setting belongs to.
type Process string

// Values of Process.
const (
	ProcessEntry Process = "entry"
	ProcessAgent Process = "agent"
	processBoth  Process = "both"
)

// Field describes one setting. Path has a dot between an object and its member.
// A setting with a Unit is an integer from Min to Max.
type Field struct {
	Path    string
	Process Process
	// Unit is empty for a string and for a list of strings.
	Unit     string
	Min, Max int64
	// Form is the required form of a string, or of each string in a list.
	Form     Form
	List     bool
	Required bool
	Doc      string
}

// Form is the required form of a string value, as named in error messages.
type Form string

// Values of Form.
const (
	formText     Form = "text"
	formFile     Form = "path of a PEM file"
	formURL      Form = "http URL"
	formAddress  Form = "IP:port"
	formLoopback Form = "IP:port on a loopback address"
)

// Bounds of numbers.
const (
	// MaxSlots equals the number of task starts that an agent keeps per entry
	// (fencing.Limits.Window); it refuses more.
	MaxSlots = 4096
	// maxPorts is the number of TCP ports, of which each connection takes one.
	maxPorts          = 65_535
	maxDrainTimeoutMS = 3_600_000
	maxMemoryMB       = 16 << 20
	maxAccelerators   = 1024
)

// fields lists all settings in the order of the documentation.
var fields = []Field{
	{Path: "name", Process: processBoth, Form: formText, Required: true,
		Doc: "Name of the instance in logs, dumps and refusals; unique in the deployment."},
	{Path: "zone", Process: processBoth, Form: formText, Required: true,
		Doc: "Availability zone of the instance."},
	{Path: "http_addr", Process: ProcessEntry, Form: formAddress, Required: true,
		Doc: "Where callers connect (TCP)."},
	{Path: "peer_addr", Process: ProcessEntry, Form: formAddress, Required: true,
		Doc: "Where agents and other entries connect (UDP). It is announced to them, so they must be able to reach it."},
	{Path: "admin_addr", Process: processBoth, Form: formLoopback, Required: true,
		Doc: "Where operators connect (TCP)."},
	{Path: "log_url", Process: ProcessEntry, Form: formURL, Required: true,
		Doc: "Base URL of the log service."},
	{Path: "seeds", Process: ProcessEntry, Form: formAddress, List: true,
		Doc: "Peer addresses of entries, or of the balancer before them, that are dialled while no other entry is connected."},
	{Path: "seeds", Process: ProcessAgent, Form: formAddress, List: true, Required: true,
		Doc: "Peer addresses of entries, or of the balancer before them, that are dialled while no entry is connected."},
	{Path: "service", Process: ProcessAgent, Form: formText, Required: true,
		Doc: "Service that the target belongs to."},
	{Path: "target_url", Process: ProcessAgent, Form: formURL, Required: true,
		Doc: "Base URL of the target."},
	{Path: "slots", Process: ProcessAgent, Unit: "tasks", Min: 1, Max: MaxSlots, Required: true,
		Doc: "Tasks that the target runs at once."},
	{Path: "max_conns", Process: ProcessAgent, Unit: "connections", Min: 1, Max: maxPorts,
		Doc: "Connections to the target."},
	{Path: "memory_mb", Process: ProcessAgent, Unit: "MB", Max: maxMemoryMB,
		Doc: "Memory that one task can use at the target."},
	{Path: "accelerators", Process: ProcessAgent, Unit: "accelerators", Max: maxAccelerators,
		Doc: "Accelerators that one task can use at the target."},
	{Path: "keys.authority", Process: processBoth, Form: formFile, Required: true,
		Doc: "Certificate of the deployment's own authority; peers without a certificate signed by it are refused."},
	{Path: "keys.certificate", Process: processBoth, Form: formFile, Required: true,
		Doc: "Certificate of the process."},
	{Path: "keys.key", Process: processBoth, Form: formFile, Required: true,
		Doc: "Private key of the process."},
	{Path: "instance_memory_mb", Process: ProcessEntry, Unit: "MB", Max: maxMemoryMB,
		Doc: "Memory of the instance, from which the bounds for callers are derived; 0 takes it from GOMEMLIMIT, or 1,024 without that variable."},
	{Path: "drain_timeout_ms", Process: processBoth, Unit: "milliseconds", Min: 1, Max: maxDrainTimeoutMS,
		Doc: "Longest time that a graceful shutdown waits for running work."},
}

// Fields returns every setting of a kind of process, in the order of the
// documentation.
func Fields(process Process) []Field {
	var own []Field
	for _, f := range fields {
		if f.Process == process || f.Process == processBoth {
			own = append(own, f)
		}
	}
	return own
}

// Expected describes the values that the setting accepts.
func (f Field) Expected() string {
	switch {
	case f.Unit != "":
		return fmt.Sprintf("whole number from %d to %d, in %s", f.Min, f.Max, f.Unit)
	case f.List && f.Required:
		return "list of at least one " + string(f.Form)
	case f.List:
		return "list of " + string(f.Form)
	}
	return string(f.Form)
}

// accepts reports whether a string has the form.
func (form Form) accepts(text string) bool {
	switch form {
	case formAddress, formLoopback:
		addr, err := netip.ParseAddrPort(text)
		return err == nil && (form == formAddress || addr.Addr().IsLoopback())
	case formURL:
		u, err := url.Parse(text)
		return err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != ""
	}
	return text != ""
}
