package observe

import (
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/azurerouter/azurerouter/connection/intake"
)

const (
	adminReadTimeout  = 5 * time.Second
	adminWriteTimeout = 10 * time.Second
	// maxAdminConns bounds the connections of operators and of their collector of metrics, and
	// adminHeaderBudget the memory of their headers.
	maxAdminConns       = 16
	maxAdminHeaderBytes = 16 << 10
	adminHeaderBudget   = 1 << 20
)

// Admin returns an actor for run.Group that serves /metrics, /dump, /health and
// /ready to operators on a loopback address, and that writes the dump to the log
// on SIGUSR1. dump returns the state of the process as a value that json.Marshal
// accepts and that shares no memory with the process; it should be bounded in
// size. ready returns why the process is not ready, or nil. execute returns an
// error if addr is not a loopback IP address or cannot be served.
func Admin(addr string, observer *Observer, dump func() any, ready func() error) (execute func() error, interrupt func(error)) {
	a := newAdmin(addr, observer, dump, ready)
	return a.execute, a.interrupt
}

// Route is a further handler of an admin server. One request to it is handled at a time, and
// only those from a loopback or private address are.
type Route struct {
	// Pattern is that of http.ServeMux.
	Pattern string
	Handler http.Handler
}

// AdminOnPrivateNetwork returns the same actor as Admin for an address in a private
// network, where only the platform and the operators can reach it, with further routes.
func AdminOnPrivateNetwork(addr string, observer *Observer, dump func() any, ready func() error, routes ...Route) (execute func() error, interrupt func(error)) {
	a := newAdmin(addr, observer, dump, ready, routes...)
	a.private = true
	return a.execute, a.interrupt
}

type admin struct {
	addr string
	// private allows an address that other machines can reach.
	private  bool
	observer *Observer
	dumper   *dumper
	ready    func() error
	server   *http.Server
	signals  chan os.Signal
	stop     chan struct{}
	// boundAddr receives the address once the server listens on it.
	boundAddr chan string
}

func newAdmin(addr string, observer *Observer, dump func() any, ready func() error, routes ...Route) *admin {
	a := &admin{
		addr:      addr,
		observer:  observer,
		dumper:    newDumper(observer, dump, ready),
		ready:     ready,
		signals:   make(chan os.Signal, 1),
		stop:      make(chan struct{}),
		boundAddr: make(chan string, 1),
	}
	a.server = intake.NewServer(a.handler(routes), nil)
	a.server.ReadTimeout, a.server.WriteTimeout = adminReadTimeout, adminWriteTimeout
	return a
}

func (a *admin) handler(routes []Route) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", a.observer.reporter)
	mux.HandleFunc("GET /dump", a.serveDump)
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.Write([]byte("ok\n")) })
	mux.HandleFunc("GET /ready", a.serveReady)
	for _, route := range routes {
		mux.Handle(route.Pattern, forOperators(route.Handler))
	}
	return mux
}

// forOperators returns a handler that rejects requests from public addresses and, so that
// operators do not take the processor time of callers, those during another request.
func forOperators(h http.Handler) http.Handler {
	running := make(chan struct{}, 1)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !isPrivate(r.RemoteAddr) {
			http.Error(w, "only from a loopback or private address", http.StatusForbidden)
			return
		}
		select {
		case running <- struct{}{}:
			defer func() { <-running }()
			h.ServeHTTP(w, r)
		default:
			http.Error(w, "another request is being handled", http.StatusServiceUnavailable)
		}
	})
}

// isPrivate reports whether an address is a loopback address or one of a private network.
func isPrivate(addr string) bool {
	host, _, err := net.SplitHostPort(addr)
	ip := net.ParseIP(host)
	return err == nil && ip != nil && (ip.IsLoopback() || ip.IsPrivate())
}

func (a *admin) execute() error {
	if err := checkLoopback(a.addr); err != nil && !a.private {
		return err
	}
	listener, err := intake.New(intake.Limits{Bytes: adminHeaderBudget}).Listen(a.addr, intake.ListenerOptions{MaxConns: maxAdminConns,
		Limits: func() intake.RequestLimits { return intake.RequestLimits{HeaderBytes: maxAdminHeaderBytes} }})
	if err != nil {
		return errors.Wrap(err, "admin")
	}
	signal.Notify(a.signals, syscall.SIGUSR1)
	defer signal.Stop(a.signals)
	a.boundAddr <- listener.Addr().String()
	a.observer.Log.Info().Str("addr", listener.Addr().String()).Msg("admin listening")
	go a.dumpOnSignal()
	err = a.server.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "admin")
}

func (a *admin) interrupt(error) {
	close(a.stop)
	a.server.Close()
}

// checkLoopback returns an error for an address that other machines can reach,
// because the server does not authenticate its clients.
func checkLoopback(addr string) error {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return errors.Wrap(err, "admin address")
	}
	if ip := net.ParseIP(host); ip == nil || !ip.IsLoopback() {
		return errors.Newf("admin address %q is not a loopback IP address", addr)
	}
	return nil
}

func (a *admin) dumpOnSignal() {
	for {
		select {
		case <-a.stop:
			return
		case <-a.signals:
			a.logDump()
		}
	}
}

func (a *admin) logDump() {
	data, err := a.dumper.take()
	if err != nil {
		a.observer.Log.Error().Err(err).Msg("state dump failed")
		return
	}
	a.observer.Log.Info().RawJSON("dump", data).Msg("state dump")
}

func (a *admin) serveDump(w http.ResponseWriter, _ *http.Request) {
	data, err := a.dumper.take()
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Write(append(data, '\n'))
}

func (a *admin) serveReady(w http.ResponseWriter, _ *http.Request) {
	if err := a.ready(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Write([]byte("ready\n"))
}
