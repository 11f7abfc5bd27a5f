package standin

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"

	"corianderpass/internal/connection/link"
)

// Network connects simulated processes in memory, so that tests run in virtual
// time. Hosts can be cut from each other and killed. The zero value is usable;
// it is safe for concurrent use.
type Network struct {
	mu        sync.Mutex
	listeners map[link.Address]*listener
	conns     map[*pipe]struct{}
	cuts      map[[2]string]bool
}

// listener accepts in-memory connections of one host.
type listener struct {
	host    string
	address link.Address
	accept  chan net.Conn
	closed  chan struct{}
	once    sync.Once
	net     *Network
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accept:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *listener) Addr() net.Addr { return addr(l.address) }

// addr is an address in memory.
type addr string

func (addr) Network() string  { return "memory" }
func (a addr) String() string { return string(a) }

// pipe is one connection between two hosts.
type pipe struct {
	net.Conn
	from, to string
	net      *Network
	// black pipes swallow what is written and deliver nothing.
	black chan struct{}
	once  sync.Once
}

func (p *pipe) blacken() { p.once.Do(func() { close(p.black) }) }

func (p *pipe) isBlack() bool {
	select {
	case <-p.black:
		return true
	default:
		return false
	}
}

func (p *pipe) Write(data []byte) (int, error) {
	if p.isBlack() {
		return len(data), nil
	}
	return p.Conn.Write(data)
}

func (p *pipe) Close() error {
	p.net.mu.Lock()
	delete(p.net.conns, p)
	p.net.mu.Unlock()
	return p.Conn.Close()
}

// Listen opens an address of a host.
func (n *Network) Listen(host string, address link.Address) net.Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners == nil {
		n.listeners = map[link.Address]*listener{}
		n.conns = map[*pipe]struct{}{}
		n.cuts = map[[2]string]bool{}
	}
	l := &listener{host: host, address: address, accept: make(chan net.Conn), closed: make(chan struct{}), net: n}
	n.listeners[address] = l
	return l
}

var errRefused = &net.OpError{Op: "dial", Net: "memory", Err: errors.New("connection refused")}

// Dial returns the dialer of a host.
func (n *Network) Dial(host string) link.Dialer {
	return func(ctx context.Context, address link.Address) (net.Conn, error) {
		n.mu.Lock()
		l := n.listeners[address]
		cut := l != nil && n.cuts[[2]string{host, l.host}]
		n.mu.Unlock()
		if l == nil {
			return nil, errRefused
		}
		if cut {
			return nil, timeOut(ctx)
		}
		return n.connect(ctx, host, l)
	}
}

// timeOut waits as a dial into the void does.
func timeOut(ctx context.Context) error {
	_ = sleep(ctx, time.Second)
	return &net.OpError{Op: "dial", Net: "memory", Err: errors.New("timed out")}
}

func (n *Network) connect(ctx context.Context, host string, l *listener) (net.Conn, error) {
	near, far := net.Pipe()
	a := &pipe{Conn: near, from: host, to: l.host, net: n, black: make(chan struct{})}
	b := &pipe{Conn: far, from: host, to: l.host, net: n, black: make(chan struct{})}
	n.mu.Lock()
	n.conns[a] = struct{}{}
	n.conns[b] = struct{}{}
	n.mu.Unlock()
	select {
	case l.accept <- b:
		return a, nil
	case <-l.closed:
	case <-ctx.Done():
	}
	_ = a.Close()
	_ = b.Close()
	return nil, errRefused
}

// Partition parts two hosts: what they send each other is lost without an error.
func (n *Network) Partition(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[[2]string{a, b}] = true
	n.cuts[[2]string{b, a}] = true
	for p := range n.conns {
		if p.from == a && p.to == b || p.from == b && p.to == a {
			p.blacken()
		}
	}
}

// Heal joins two hosts again. Connections from before the cut end.
func (n *Network) Heal(a, b string) {
	n.mu.Lock()
	delete(n.cuts, [2]string{a, b})
	delete(n.cuts, [2]string{b, a})
	var dead []*pipe
	for p := range n.conns {
		if p.isBlack() {
			dead = append(dead, p)
		}
	}
	n.mu.Unlock()
	for _, p := range dead {
		_ = p.Close()
	}
}

// Kill ends everything of a host: its listeners and its connections.
func (n *Network) Kill(host string) {
	n.mu.Lock()
	var dead []*pipe
	for p := range n.conns {
		if p.from == host || p.to == host {
			dead = append(dead, p)
		}
	}
	for address, l := range n.listeners {
		if l.host == host {
			delete(n.listeners, address)
			_ = l.Close()
		}
	}
	n.mu.Unlock()
	for _, p := range dead {
		_ = p.Close()
	}
}
