package standin

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"

	"corianderpass/internal/connection/link"
)

// Network connects simulated processes in memory, so that tests run in virtual time.
// Tests can partition hosts from each other and kill them. The zero value is usable;
// it is safe for concurrent use.
type Network struct {
	mu        sync.Mutex
	listeners map[link.Address]*listener
	// conns has both ends of each open connection.
	conns map[*pipe]struct{}
	// partitions has both orders of each pair of partitioned hosts.
	partitions map[[2]string]bool
}

// listener accepts the in-memory connections to one address of a host.
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

// addr is an address on the network.
type addr string

func (addr) Network() string  { return "memory" }
func (a addr) String() string { return string(a) }

// pipe is one end of a connection between two hosts.
type pipe struct {
	net.Conn
	// from is the host that dialed and to the host that accepted. Both ends of a connection
	// have the same values.
	from, to string
	net      *Network
	// severed is closed when the hosts are partitioned. After that, writes succeed but
	// their data is dropped.
	severed chan struct{}
	once    sync.Once
}

func (p *pipe) sever() { p.once.Do(func() { close(p.severed) }) }

func (p *pipe) isSevered() bool {
	select {
	case <-p.severed:
		return true
	default:
		return false
	}
}

func (p *pipe) Write(data []byte) (int, error) {
	if p.isSevered() {
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

// Listen returns a listener for an address of the host.
func (n *Network) Listen(host string, address link.Address) net.Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners == nil {
		n.listeners = map[link.Address]*listener{}
		n.conns = map[*pipe]struct{}{}
		n.partitions = map[[2]string]bool{}
	}
	l := &listener{host: host, address: address, accept: make(chan net.Conn), closed: make(chan struct{}), net: n}
	n.listeners[address] = l
	return l
}

var errRefused = &net.OpError{Op: "dial", Net: "memory", Err: errors.New("connection refused")}

// Dial returns a dialer for connections from the host.
func (n *Network) Dial(host string) link.Dialer {
	return func(ctx context.Context, address link.Address) (net.Conn, error) {
		n.mu.Lock()
		l := n.listeners[address]
		partitioned := l != nil && n.partitions[[2]string{host, l.host}]
		n.mu.Unlock()
		if l == nil {
			return nil, errRefused
		}
		if partitioned {
			return nil, awaitDialTimeout(ctx)
		}
		return n.connect(ctx, host, l)
	}
}

// awaitDialTimeout returns an error after 1 s, as a dial does whose packets are lost,
// or earlier if the context ends.
func awaitDialTimeout(ctx context.Context) error {
	_ = sleep(ctx, time.Second)
	return &net.OpError{Op: "dial", Net: "memory", Err: errors.New("timed out")}
}

// connect opens a connection from the host to the listener.
func (n *Network) connect(ctx context.Context, host string, l *listener) (net.Conn, error) {
	near, far := net.Pipe()
	a := &pipe{Conn: near, from: host, to: l.host, net: n, severed: make(chan struct{})}
	b := &pipe{Conn: far, from: host, to: l.host, net: n, severed: make(chan struct{})}
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

// Partition drops all data between two hosts from now on, without an error to the
// sender. New connections between them time out.
func (n *Network) Partition(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitions[[2]string{a, b}] = true
	n.partitions[[2]string{b, a}] = true
	for p := range n.conns {
		if p.from == a && p.to == b || p.from == b && p.to == a {
			p.sever()
		}
	}
}

// Heal ends the partition between two hosts. It closes all connections, between any
// hosts, that a partition has severed.
func (n *Network) Heal(a, b string) {
	n.mu.Lock()
	delete(n.partitions, [2]string{a, b})
	delete(n.partitions, [2]string{b, a})
	var toClose []*pipe
	for p := range n.conns {
		if p.isSevered() {
			toClose = append(toClose, p)
		}
	}
	n.mu.Unlock()
	for _, p := range toClose {
		_ = p.Close()
	}
}

// Kill closes all listeners and connections of a host.
func (n *Network) Kill(host string) {
	n.mu.Lock()
	var toClose []*pipe
	for p := range n.conns {
		if p.from == host || p.to == host {
			toClose = append(toClose, p)
		}
	}
	for address, l := range n.listeners {
		if l.host == host {
			delete(n.listeners, address)
			_ = l.Close()
		}
	}
	n.mu.Unlock()
	for _, p := range toClose {
		_ = p.Close()
	}
}
