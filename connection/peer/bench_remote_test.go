package peer

import (
	"context"
	"crypto/tls"
	"flag"
	"fmt"
	"net"
	"os"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/azurerouter/azurerouter/connection/wire"
)

// With these flags the benchmarks dial a listener in another process, so that they
// measure only the dialling side.
var (
	remoteListen = flag.String("far-listen", "", "address on which to serve the benchmarks of another process instead of running tests")
	remoteAddr   = flag.String("far", "", "address of a process that was started with -far-listen")
	remoteKeys   = flag.String("far-keys", "", "directory for the keys of both processes")
)

// remoteLifetime is the time after which a listener process exits if it is not
// stopped.
const remoteLifetime = 5 * time.Minute

// TestMain runs the tests, or with -far-listen the listener for benchmarks of
// another process.
func TestMain(m *testing.M) {
	flag.Parse()
	if *remoteListen == "" {
		os.Exit(m.Run())
	}
	if err := serveRemote(*remoteListen, *remoteKeys); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// serveRemote answers queries over QUIC and TCP on the same port number.
func serveRemote(addr, dir string) error {
	if err := writeBenchKeys(dir); err != nil {
		return err
	}
	id, err := LoadIdentity(benchKeys(dir))
	if err != nil {
		return err
	}
	q, err := listenQUIC(addr, id.TLS())
	if err != nil {
		return err
	}
	defer q.Close()
	l, err := listenTCP(addr, id.TLS())
	if err != nil {
		return err
	}
	defer l.Close()
	time.Sleep(remoteLifetime)
	return nil
}

func listenQUIC(addr string, config *tls.Config) (*Listener, error) {
	l, err := Listen(addr, config, func() wire.Hello { return wire.Hello{Name: "entry"} }, benchHandler{})
	if err == nil {
		go l.Serve(context.Background())
	}
	return l, err
}

func listenTCP(addr string, config *tls.Config) (net.Listener, error) {
	l, err := tls.Listen("tcp", addr, config)
	if err != nil {
		return nil, err
	}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			serveTCP(conn, func(c *tcpConn, m wire.Message) { c.Send(reply(m.(*wire.Query))) })
		}
	}()
	return l, nil
}

func benchKeys(dir string) KeyFiles {
	return KeyFiles{Authority: dir + "/authority.pem", Certificate: dir + "/process.pem", Key: dir + "/process-key.pem"}
}

func writeBenchKeys(dir string) error {
	authority, err := NewAuthority(time.Now())
	if err != nil {
		return err
	}
	files := benchKeys(dir)
	return errors.CombineErrors(authority.WriteAuthority(files.Authority, dir+"/authority-key.pem"),
		authority.Issue(files, "process", time.Now(), time.Now().Add(time.Hour)))
}
