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

// These flags let the benchmarks dial a listener in another process, so that
// they measure the dialling end alone.
var (
	farListen = flag.String("far-listen", "", "serve the benchmarks of another process on this address instead of running tests")
	farAddr   = flag.String("far", "", "address of a process that was started with -far-listen")
	farKeys   = flag.String("far-keys", "", "folder for the keys of both processes")
)

// farLifetime bounds a listener that nobody stops.
const farLifetime = 5 * time.Minute

func TestMain(m *testing.M) {
	flag.Parse()
	if *farListen == "" {
		os.Exit(m.Run())
	}
	if err := serveFar(*farListen, *farKeys); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// serveFar answers over QUIC and TCP on the same port number.
func serveFar(addr, dir string) error {
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
	time.Sleep(farLifetime)
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
