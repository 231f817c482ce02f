package entry

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"testing"
	"time"

	"github.com/oklog/run"

	"github.com/azurerouter/azurerouter/connection/peer"
	"github.com/azurerouter/azurerouter/process/observe"
	"github.com/azurerouter/azurerouter/process/settings"
	"github.com/azurerouter/azurerouter/standin/logservice"
)

// issueTestKeys issues a certificate that is valid for 24 hours, up to the
// given time.
func issueTestKeys(t *testing.T, until time.Time) peer.KeyFiles {
	t.Helper()
	dir := t.TempDir()
	files := peer.KeyFiles{Authority: filepath.Join(dir, "authority.pem"),
		Certificate: filepath.Join(dir, "own.pem"), Key: filepath.Join(dir, "own-key.pem")}
	start := until.Add(-24 * time.Hour)
	authority, err := peer.NewAuthority(start)
	if err != nil {
		t.Fatal(err)
	}
	if err := errors.Join(authority.WriteAuthority(files.Authority, filepath.Join(dir, "authority-key.pem")),
		authority.Issue(files, "own", start, until)); err != nil {
		t.Fatal(err)
	}
	return files
}

// Guards against a graceful shutdown that cuts off a caller whose request is
// still open, or that ends the process with an error. This happens if the run
// group ends as soon as the server begins to shut down.
func TestShutdownCompletesOpenRequests(t *testing.T) {
	log := httptest.NewServer(logservice.New(logservice.Settings{}))
	defer log.Close()
	free := httptest.NewServer(nil)
	free.Close()
	observer := observe.New("entry-1", io.Discard)
	defer observer.Close()
	d, err := NewDaemon(&settings.Entry{Name: "entry-1", Zone: "zone-1", LogURL: log.URL,
		HTTPAddr: free.Listener.Addr().String(), PeerAddr: "127.0.0.1:0", AdminAddr: "127.0.0.1:0",
		Keys: issueTestKeys(t, time.Now().Add(time.Hour)), DrainTimeoutMS: settings.DefaultDrainTimeoutMS}, observer)
	if err != nil {
		t.Fatal(err)
	}
	var g run.Group
	stop, ended := make(chan struct{}), make(chan error, 1)
	if err := d.AddTo(&g, stop); err != nil {
		t.Fatal(err)
	}
	go func() { ended <- g.Run() }()

	caller := dialUntil(d.settings.HTTPAddr, true)
	defer caller.Close()
	// The interim response shows that the server has accepted the connection
	// and is reading the body. A connection that has not been accepted is lost
	// when the listener closes.
	fmt.Fprintf(caller, "POST %s HTTP/1.1\r\nHost: entry\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n", PathJobs)
	responses := bufio.NewReader(caller)
	if interim, err := http.ReadResponse(responses, nil); err != nil || interim.StatusCode != http.StatusContinue {
		t.Fatalf("interim response %v, error %v", interim, err)
	}
	close(stop)
	dialUntil(d.settings.HTTPAddr, false)
	fmt.Fprint(caller, "{}")
	if _, err := http.ReadResponse(responses, nil); err != nil {
		t.Errorf("the exchange that was open at the shutdown ended with %v", err)
	}
	caller.Close()
	if err := <-ended; err != nil {
		t.Errorf("the shutdown ended with %v", err)
	}
}

// dialUntil dials an address until it accepts a connection, or refuses one, as
// given by accepts.
func dialUntil(addr string, accepts bool) net.Conn {
	for {
		conn, err := net.Dial("tcp", addr)
		if (err == nil) == accepts {
			return conn
		}
		if conn != nil {
			conn.Close()
		}
	}
}
