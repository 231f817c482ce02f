package intake

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"
)

// connPair returns a connection of a listener that nobody reads, and its client.
func connPair(t *testing.T) (*Conn, net.Conn) {
	t.Helper()
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer tcp.Close()
	client, err := net.Dial("tcp", tcp.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	server, err := tcp.Accept()
	if err != nil {
		t.Fatal(err)
	}
	l := &Listener{intake: New(Limits{Bytes: 64 << 10}), table: &connTable{max: 1, conns: make(map[*Conn]struct{})}}
	c := newConn(server.(*net.TCPConn), l)
	t.Cleanup(func() { client.Close(); c.Close() })
	return c, client
}

// Guards against a request that is lost without an answer because its connection is closed between
// its arrival and the moment at which the process has noted it (LOST, vrpb-wire-grown).
func TestConnectionWithAWholeRequestStays(t *testing.T) {
	const part, rest = "GET / HTTP/1.1\r\n", "Host: x\r\n\r\n"
	cases := map[string]struct {
		phase phase
		// read has been read before the connection is to leave, unread has arrived by then.
		read, unread string
		stays        bool
	}{
		"idle":                           {phaseIdle, "", "", false},
		"idle, a request unread":         {phaseIdle, "", part + rest, true},
		"idle, a part of one unread":     {phaseIdle, "", part, true},
		"new":                            {phaseHead, "", "", false},
		"new, a request unread":          {phaseHead, "", part + rest, true},
		"a part of a request":            {phaseHead, part, "", false},
		"a part, another one unread":     {phaseHead, part, part, false},
		"a part, the rest of it unread":  {phaseHead, part, rest, true},
		"a request that was not handled": {phaseHead, part + rest, "", true},
	}
	for name, step := range cases {
		c, client := connPair(t)
		c.setPhase(step.phase)
		buffer := make([]byte, 4<<10)
		if step.read != "" {
			fmt.Fprint(client, step.read)
			if _, err := c.Read(buffer); err != nil {
				t.Fatal(err)
			}
		}
		fmt.Fprint(client, step.unread)
		// The bytes pass the loopback interface meanwhile.
		time.Sleep(5 * time.Millisecond)
		if !c.leave(step.phase) {
			t.Fatalf("%s: not in the phase %d", name, step.phase)
		}
		var err error
		if step.read == part+rest {
			c.headArrived(phaseBusy)
		} else {
			_, err = c.Read(buffer)
		}
		if stays := err == nil; stays != step.stays {
			t.Errorf("%s: read %v, want the connection to stay: %t", name, err, step.stays)
		}
		if !step.stays {
			continue
		}
		fmt.Fprint(client, "x")
		if n, err := c.Read(buffer); n != 1 {
			t.Errorf("%s: a connection that stays reads %d bytes, %v", name, n, err)
		}
	}
}

// Guards against closing an idle connection while the client still uses it: the client counts the
// idle timeout from when it has the answer (LOST, vrpb-wire-grown).
func TestIdleConnectionServesARequestSentInTime(t *testing.T) {
	const idle, delay = 300 * time.Millisecond, 900 * time.Millisecond
	in, addr := serveEcho(t, ListenerOptions{MaxConns: 10, Limits: func() RequestLimits { return RequestLimits{IdleTimeout: idle} }})
	client, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	answers := bufio.NewReader(client)
	for n := range 2 {
		fmt.Fprint(client, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
		// The answer takes that long to the client, which sends its next request at once.
		time.Sleep(delay)
		response, err := http.ReadResponse(answers, nil)
		if err != nil {
			t.Fatalf("request %d: %v", n, err)
		}
		response.Body.Close()
	}
	// The listener sweeps its own table; this one shares the connections and is ahead of time.
	later := &connTable{conns: make(map[*Conn]struct{})}
	for _, c := range in.listeners[0].table.all() {
		later.conns[c] = struct{}{}
	}
	later.sweep(time.Now().Add(idle+idleGrace+time.Second), RequestLimits{IdleTimeout: idle}.withDefaults())
	for deadline := time.Now().Add(10 * time.Second); in.Stats().Conns > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("an unused connection stays open: %+v", in.Stats())
		}
	}
}

// Guards against closing connections whose requests a delayed process has not read yet.
func TestLateSweepClosesNothing(t *testing.T) {
	c, _ := connPair(t)
	table := c.listener.table
	table.conns[c] = struct{}{}
	limits := RequestLimits{}.withDefaults()
	now := time.Now()
	table.sweep(now, limits)
	now = now.Add(limits.HeaderTimeout + time.Second)
	for range 2 {
		table.sweep(now, limits)
		if table.timedOut != 0 {
			t.Fatal("a late sweep closed a connection")
		}
		now = now.Add(catchUpDelay / 2)
	}
	table.sweep(now, limits)
	if table.timedOut != 1 {
		t.Error("a sweep in time did not close a connection that has waited too long")
	}
}

// Guards against new connections that are closed at once because readers without processor time
// don't close those that are to leave.
func TestNewConnectionReplacesOneThatIsStillToLeave(t *testing.T) {
	newcomer, _ := connPair(t)
	table := &connTable{max: leavingShare, conns: make(map[*Conn]struct{})}
	for range leavingShare {
		c, _ := connPair(t)
		c.listener.table = table
		c.setPhase(phaseIdle)
		table.conns[c] = struct{}{}
	}
	newcomer.listener.table = table
	for n := range 2 * leavingShare {
		c, _ := connPair(t)
		c.listener.table = table
		if !table.add(time.Now(), c) {
			t.Fatalf("newcomer %d was closed", n)
		}
		if open := len(table.conns); open > leavingShare+1 {
			t.Fatalf("%d connections are open, want at most %d", open, leavingShare+1)
		}
		c.setPhase(phaseIdle)
	}
	for c := range table.conns {
		c.setPhase(phaseBusy)
	}
	if table.add(time.Now(), newcomer) {
		t.Error("a newcomer was taken in beside busy connections only")
	}
}
