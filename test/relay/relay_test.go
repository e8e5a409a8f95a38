package relay

import (
	"bufio"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestTCP(t *testing.T) {
	Convey("Given a server behind a link", t, func() {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }))
		Reset(server.Close)
		var sender atomic.Value
		sender.Store("a")
		link, err := NewTCP(server.Listener.Addr().String(), func(net.Addr) string { return sender.Load().(string) })
		So(err, ShouldBeNil)
		Reset(link.Close)
		transport := &http.Transport{}
		client := &http.Client{Transport: transport, Timeout: 10 * time.Second}
		get := func() error {
			resp, err := client.Get("http://" + link.Address())
			if err == nil {
				resp.Body.Close()
			}
			return err
		}
		So(get(), ShouldBeNil)
		Convey("Cut refuses connections until it is removed", func() {
			link.Set(Fault{Cut: true})
			So(get(), ShouldNotBeNil)
			link.Set(Fault{})
			So(get(), ShouldBeNil)
		})
		Convey("Cut for one sender does not affect another", func() {
			link.SetFor("a", Fault{Cut: true})
			So(get(), ShouldNotBeNil)
			sender.Store("b")
			So(get(), ShouldBeNil)
		})
		Convey("BlackholeOpen affects the open connections, not new ones", func() {
			link.BlackholeOpen()
			client.Timeout = 100 * time.Millisecond
			So(get(), ShouldNotBeNil)
			transport.CloseIdleConnections()
			client.Timeout = 10 * time.Second
			So(get(), ShouldBeNil)
		})
		Convey("Blackhole accepts connections and never responds", func() {
			link.Set(Fault{Blackhole: true})
			client.Timeout = 100 * time.Millisecond
			So(get(), ShouldNotBeNil)
		})
	})
}

func TestUDP(t *testing.T) {
	Convey("Datagrams are forwarded in both directions unless a fault drops one direction", t, func() {
		server, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		So(err, ShouldBeNil)
		Reset(func() { server.Close() })
		link, err := NewUDP(server.LocalAddr().String(), nil)
		So(err, ShouldBeNil)
		Reset(link.Close)
		client, err := net.Dial("udp", link.Address())
		So(err, ShouldBeNil)
		Reset(func() { client.Close() })
		_, _ = client.Write([]byte("lost\n"))
		buf := make([]byte, 16)
		n, from, err := server.ReadFromUDP(buf)
		So(err, ShouldBeNil)
		So(string(buf[:n]), ShouldEqual, "lost\n")
		link.Set(Fault{LoseBack: true})
		_, _ = server.WriteToUDP([]byte("gone\n"), from)
		for end := time.Now().Add(10 * time.Second); link.Lost() == 0 && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
		link.Set(Fault{})
		_, _ = server.WriteToUDP([]byte("back\n"), from)
		line, err := bufio.NewReader(client).ReadString('\n')
		So(err, ShouldBeNil)
		So(line, ShouldEqual, "back\n")
	})
}
