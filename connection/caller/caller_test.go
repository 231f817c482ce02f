package caller

import (
	"context"
	"net"
	"testing"
	"time"
)

// connect returns both ends of a connection.
func connect(t *testing.T) (client *net.TCPConn, server net.Conn) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	server, err = listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close(); server.Close() })
	return conn.(*net.TCPConn), server
}

// Guards against a job that is started for a caller whose connection has ended, and against
// one that is not started although its caller waits.
func TestConnectedFollowsTheConnection(t *testing.T) {
	cases := map[string]struct {
		act  func(client *net.TCPConn)
		open bool
	}{
		"idle":               {func(*net.TCPConn) {}, true},
		"sends more":         {func(c *net.TCPConn) { c.Write([]byte("x")) }, true},
		"closed":             {func(c *net.TCPConn) { c.Close() }, false},
		"closed for sending": {func(c *net.TCPConn) { c.CloseWrite() }, false},
		"reset":              {func(c *net.TCPConn) { c.SetLinger(0); c.Close() }, false},
	}
	for name, step := range cases {
		t.Run(name, func(t *testing.T) {
			client, server := connect(t)
			connected := Connected(WithConn(context.Background(), server))
			reading := make(chan bool)
			go func() {
				// The server's own read must not be disturbed, nor hold up the check.
				server.Read(nil)
				close(reading)
			}()
			step.act(client)
			deadline := time.Now().Add(5 * time.Second)
			for connected() != step.open && time.Now().Before(deadline) {
				time.Sleep(time.Millisecond)
			}
			if got := connected(); got != step.open {
				t.Errorf("connected %t, want %t", got, step.open)
			}
			<-reading
		})
	}
	if Connected(context.Background()) != nil {
		t.Error("connected to an unknown caller")
	}
}
