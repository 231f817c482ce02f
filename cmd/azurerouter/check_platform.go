package main

import (
	"fmt"
	"io"

	"github.com/azurerouter/azurerouter/platform"
)

// checkPlatformSettings checks a settings file of the platform and prints the values
// that a process takes from it.
func checkPlatformSettings(path string, stdout, stderr io.Writer) int {
	s, err := platform.LoadSettings(path)
	if err != nil {
		fmt.Fprintln(stderr, "check:", err)
		return exitFailed
	}
	values := []struct{ name, value string }{
		{"instance", s.Node}, {"availability zone", s.Zone}, {"callers", s.CallerAddr}, {"readiness", s.ReadyAddr},
		{"control", s.ControlAddr}, {"links", s.PeerAddr}, {"seeds", fmt.Sprint(s.SeedPeers)}, {"store", s.StoreAddr},
		{"machines", s.MachinesAddr}, {"target", s.TargetAddr}, {"grace", s.Grace.String()},
		{"remote factor", fmt.Sprint(s.RemoteFactor)}, {"memory", fmt.Sprintf("%d MiB", s.MemoryLimit>>20)},
	}
	for _, v := range values {
		if v.value != "" {
			fmt.Fprintf(stdout, "%-18s %s\n", v.name, v.value)
		}
	}
	return exitOK
}
