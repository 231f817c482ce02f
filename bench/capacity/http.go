package capacity

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/azurerouter/azurerouter/connection/logclient"
	"github.com/azurerouter/azurerouter/connection/target"
	"github.com/azurerouter/azurerouter/request/job"
	"github.com/azurerouter/azurerouter/standin/logservice"
)

// serve runs an HTTP server on loopback until stop is called.
func serve(handler http.Handler) (url string, stop func() error, err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	server := &http.Server{Handler: handler}
	go server.Serve(listener) // returns on Close
	return "http://" + listener.Addr().String(), server.Close, nil
}

// measureHTTP measures the processor time of sequential calls to a target and to
// the log service. It includes that of the servers, which run in this process.
func measureHTTP(o Options) ([]Measurement, error) {
	url, stop, err := serve(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		w.Write(payload) // the client reports a failed write
	}))
	if err != nil {
		return nil, err
	}
	defer stop()
	client := target.New(url, 60)
	call := func() error {
		result := client.Run(context.Background(), target.Call{Attempt: 1, Budget: time.Minute, Input: payload})
		if result.Outcome != job.OK {
			return errors.Newf("target call ended with %s: %s", result.Outcome, result.Error)
		}
		return nil
	}
	logURL, stopLog, err := serve(logservice.New(logservice.Settings{}))
	if err != nil {
		return nil, err
	}
	defer stopLog()
	log := logclient.New(logURL, nil)
	data := otherEntryRecords(1, 5)[0].Data
	appendRecord := func() error {
		_, err := log.Append(context.Background(), "claims", data)
		return err
	}
	readRecord := func() error {
		page, err := log.Read(context.Background(), "claims", 1, 1, 0)
		if err == nil && len(page.Records) != 1 {
			err = errors.Newf("the log returned %d records, want 1", len(page.Records))
		}
		return err
	}
	return collect(
		func() (Measurement, error) {
			return o.sequentialCallTime("target: processor time per call, both ends", "call", call)
		},
		func() (Measurement, error) {
			return o.sequentialCallTime("log: processor time per append of 5 claims, both ends", "append", appendRecord)
		},
		func() (Measurement, error) {
			return o.sequentialCallTime("log: processor time per read of 1 record, both ends", "read", readRecord)
		},
	)
}

// sequentialCallTime measures the processor time of calls made one at a time.
func (o Options) sequentialCallTime(name, per string, call func() error) (Measurement, error) {
	return o.measureCPUTime(name, per, []int{1000, 2000, 4000}, 1, func(n int) (func() error, error) {
		return func() error {
			for range n {
				if err := call(); err != nil {
					return err
				}
			}
			return nil
		}, nil
	})
}
