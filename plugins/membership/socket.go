package membership

import (
	"context"
	"net"
	"net/netip"
	"os"
	"syscall"
	"time"

	"github.com/panjf2000/gnet/v2"
	"github.com/pkg/errors"
)

const (
	socketStartTimeout = 5 * time.Second
	socketStopTimeout  = 5 * time.Second
)

// socket receives datagrams in a gnet event loop and sends from the same port.
type socket struct {
	gnet.BuiltinEventEngine
	receive func(raw []byte)
	engine  gnet.Engine
	booted  chan struct{}
	ended   chan error
	sender  net.PacketConn
}

// openSocket listens on a UDP address. It calls receive with each datagram;
// receive must not retain the bytes.
func openSocket(address string, receive func(raw []byte)) (*socket, error) {
	gnetStart.Lock()
	defer gnetStart.Unlock()
	s := &socket{receive: receive, booted: make(chan struct{}), ended: make(chan error, 1)}
	go func() {
		s.ended <- gnet.Run(s, "udp://"+address, gnet.WithNumEventLoop(1), gnet.WithLogger(gnetLogger{}))
	}()
	select {
	case <-s.booted:
	case err := <-s.ended:
		return nil, errors.Wrap(err, "gossip socket")
	case <-time.After(socketStartTimeout):
		return nil, errors.New("gossip socket: event loop did not start in time")
	}
	if err := s.openSender(); err != nil {
		_ = s.close()
		return nil, err
	}
	return s, nil
}

// openSender duplicates the listening socket, so that datagrams can be sent
// from the same port outside the event loop.
func (s *socket) openSender() error {
	fd, err := s.engine.Dup()
	if err != nil {
		return errors.Wrap(err, "gossip socket")
	}
	syscall.CloseOnExec(fd)
	file := os.NewFile(uintptr(fd), "gossip")
	defer file.Close()
	s.sender, err = net.FilePacketConn(file)
	return errors.Wrap(err, "gossip socket")
}

// OnBoot implements gnet.EventHandler.
func (s *socket) OnBoot(engine gnet.Engine) gnet.Action {
	s.engine = engine
	close(s.booted)
	return gnet.None
}

// OnTraffic implements gnet.EventHandler.
func (s *socket) OnTraffic(c gnet.Conn) gnet.Action {
	raw, err := c.Next(-1)
	if err == nil {
		s.receive(raw)
	}
	return gnet.None
}

// address returns the address listened on, with the actual port if the
// configured port is 0.
func (s *socket) address() string { return s.sender.LocalAddr().String() }

// send sends one datagram. Delivery is not acknowledged: the receiver detects
// lost heartbeats by its own timeouts.
func (s *socket) send(address string, raw []byte) error {
	to, err := resolve(address)
	if err != nil {
		return err
	}
	_, err = s.sender.WriteTo(raw, to)
	return err
}

// resolve parses an address of the form IP:port or localhost:port. It makes no
// DNS queries.
func resolve(address string) (*net.UDPAddr, error) {
	if to, err := netip.ParseAddrPort(address); err == nil {
		return net.UDPAddrFromAddrPort(to), nil
	}
	host, port, err := net.SplitHostPort(address)
	if err != nil || host != "localhost" {
		return nil, errors.Errorf("%q is not an address of the form IP:port or localhost:port", address)
	}
	return resolve(net.JoinHostPort("127.0.0.1", port))
}

func (s *socket) close() error {
	if s.sender != nil {
		_ = s.sender.Close()
	}
	ctx, cancel := context.WithTimeout(context.Background(), socketStopTimeout)
	defer cancel()
	if err := s.engine.Stop(ctx); err != nil {
		return errors.Wrap(err, "gossip socket")
	}
	return errors.Wrap(<-s.ended, "gossip socket")
}
