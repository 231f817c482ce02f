package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/azurerouter/azurerouter/process/observe"
)

// adminTimeout is longer than the time after which a process gives up writing its dump.
const adminTimeout = 5 * time.Second

// adminClient ignores proxy settings, since admin addresses are local.
var adminClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: adminTimeout}

// readAdmin returns the response body of an admin request to a process.
func readAdmin(ctx context.Context, addr, path string, maxBytes int64) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+path, nil)
	if err != nil {
		return nil, err
	}
	response, err := adminClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxBytes+1))
	if err != nil {
		return nil, errors.Wrapf(err, "read %s of %s", path, addr)
	}
	if response.StatusCode != http.StatusOK {
		return nil, errors.Newf("%s responded with status %s: %s", addr, response.Status, bytes.TrimSpace(data))
	}
	if int64(len(data)) > maxBytes {
		return nil, errors.Newf("%s of %s exceeds %d bytes", path, addr, maxBytes)
	}
	return data, nil
}

// readDump returns the dump of a process.
func readDump(ctx context.Context, addr string) (observe.Dump, error) {
	var dump observe.Dump
	data, err := readAdmin(ctx, addr, "/dump", observe.MaxDumpBytes+1)
	if err != nil {
		return dump, err
	}
	return dump, errors.Wrapf(json.Unmarshal(data, &dump), "dump of %s", addr)
}

// runDump prints the state of one process.
func runDump(args []string, stdout, stderr io.Writer) int {
	flags := newFlags("dump", " ADDR")
	if code, ok := parseFlags(flags, args, 1, stdout, stderr); !ok {
		return code
	}
	dump, err := readDump(context.Background(), flags.Arg(0))
	if err != nil {
		fmt.Fprintf(stderr, "dump: %v\n", err)
		return exitFailed
	}
	encoder := json.NewEncoder(stdout)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(dump); err != nil {
		fmt.Fprintf(stderr, "dump: %v\n", err)
		return exitFailed
	}
	return exitOK
}

// addressList is a flag that takes addresses separated by commas and may be
// repeated.
type addressList []string

// String implements flag.Value.
func (l *addressList) String() string { return strings.Join(*l, ",") }

// Set implements flag.Value.
func (l *addressList) Set(value string) error {
	for _, addr := range strings.Split(value, ",") {
		if addr = strings.TrimSpace(addr); addr != "" {
			*l = append(*l, addr)
		}
	}
	return nil
}
