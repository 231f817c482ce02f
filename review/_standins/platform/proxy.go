package main

import (
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// proxy is a TCP relay that can hold back all data, as a silent cut of a link does, and
// reset connections.
type proxy struct {
	listener net.Listener
	target   string
	delay    time.Duration

	mu    sync.Mutex
	wake  *sync.Cond
	cut   bool
	conns map[*relayed]bool
}

// relayed is one connection. All data of a silent one is lost, and neither side sees the
// other one close it.
type relayed struct {
	client, server net.Conn
	silent         bool
}

func newProxy(listen, target string, delay time.Duration) (*proxy, error) {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, target: target, delay: delay, conns: make(map[*relayed]bool)}
	p.wake = sync.NewCond(&p.mu)
	go func() {
		for {
			client, err := listener.Accept()
			if err != nil {
				return
			}
			go p.connect(client)
		}
	}()
	return p, nil
}

// awaitLink waits until the link is not cut.
func (p *proxy) awaitLink() {
	p.mu.Lock()
	for p.cut {
		p.wake.Wait()
	}
	p.mu.Unlock()
}

func (p *proxy) connect(client net.Conn) {
	p.awaitLink()
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		reset(client)
		return
	}
	c := &relayed{client: client, server: server}
	p.mu.Lock()
	p.conns[c] = true
	p.mu.Unlock()
	go p.relay(c, client, server)
	go p.relay(c, server, client)
}

type chunk struct {
	data []byte
	due  time.Time
}

func (p *proxy) relay(c *relayed, from, to net.Conn) {
	chunks := make(chan chunk, 4096)
	go func() {
		for next := range chunks {
			time.Sleep(time.Until(next.due))
			p.awaitLink()
			if p.isSilent(c) {
				continue
			}
			if _, err := to.Write(next.data); err != nil {
				break
			}
		}
		p.end(c, from)
		for range chunks {
			continue
		}
	}()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			chunks <- chunk{append([]byte(nil), buffer[:n]...), time.Now().Add(p.delay)}
		}
		if err != nil {
			close(chunks)
			return
		}
	}
}

func (p *proxy) isSilent(c *relayed) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return c.silent
}

// end closes a connection, of a silent one only the side that has closed it.
func (p *proxy) end(c *relayed, from net.Conn) {
	p.mu.Lock()
	delete(p.conns, c)
	silent := c.silent
	p.mu.Unlock()
	if silent {
		from.Close()
		return
	}
	c.client.Close()
	c.server.Close()
}

// setCut cuts the link silently or heals it. Held data then arrives.
func (p *proxy) setCut(cut bool) {
	p.mu.Lock()
	p.cut = cut
	p.mu.Unlock()
	p.wake.Broadcast()
}

// resetShare resets a share of the open connections of some proxies and returns how
// many of how many.
func resetShare(random *rand.Rand, share float64, proxies ...*proxy) (resets, open int) {
	chosen, open := chooseShare(random, share, proxies...)
	for _, c := range chosen {
		reset(c.client)
		reset(c.server)
	}
	return len(chosen), open
}

// silenceShare makes a share of the open connections of a proxy go silent for good.
func silenceShare(random *rand.Rand, share float64, p *proxy) (silent, open int) {
	chosen, open := chooseShare(random, share, p)
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range chosen {
		c.silent = true
	}
	return len(chosen), open
}

// chooseShare returns a share of the open connections of some proxies, and the number of
// all.
func chooseShare(random *rand.Rand, share float64, proxies ...*proxy) (chosen []*relayed, open int) {
	var all []*relayed
	for _, p := range proxies {
		p.mu.Lock()
		for c := range p.conns {
			if !c.silent {
				all = append(all, c)
			}
		}
		p.mu.Unlock()
	}
	random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:int(share*float64(len(all)))], len(all)
}

// reset closes a connection with a TCP reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	conn.Close()
}
