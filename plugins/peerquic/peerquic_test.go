package peerquic

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/goleak"

	"github.com/savoryfold/savoryfold/kernel"
	"github.com/savoryfold/savoryfold/peer"
	_ "github.com/savoryfold/savoryfold/plugins/membership" // registers the [membership] settings
)

const (
	secretA     = "secret-a-0123456789"
	secretB     = "secret-b-0123456789"
	testTimeout = 30 * time.Second
	validity    = time.Hour
)

// TestMain checks for leaked goroutines. It ignores those of the worker pool that
// gnet, which the membership plug-in imports, starts on import and never stops.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m,
		goleak.IgnoreAnyFunction("github.com/panjf2000/ants/v2.(*poolCommon).purgeStaleWorkers"),
		goleak.IgnoreAnyFunction("github.com/panjf2000/ants/v2.(*poolCommon).ticktock"),
	)
}

func start(id string, lines ...string) *Peers {
	text := fmt.Sprintf("[instance]\nid = %s\nzone = z\n[membership]\npeer_listen = 127.0.0.1:0\n%s\n", id, strings.Join(lines, "\n"))
	settings, err := kernel.Schema().Load("test.ini", []byte(text))
	So(err, ShouldBeNil)
	in, err := kernel.NewInstance(settings, slog.New(slog.DiscardHandler), &slog.LevelVar{})
	So(err, ShouldBeNil)
	p := in.Host.Peers.(*Peers)
	p.Handle("echo", func(_ context.Context, from string, body []byte) ([]byte, error) {
		return append([]byte(from+":"), body...), nil
	})
	p.Handle("fail", func(context.Context, string, []byte) ([]byte, error) { return nil, errors.New("no luck") })
	So(p.Start(context.Background()), ShouldBeNil)
	return p
}

func (p *Peers) member() kernel.Member {
	return kernel.Member{ID: p.host.ID(), Boot: "1", PeerAddress: p.PeerAddress()}
}

func call(from, to *Peers, method string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	response, err := from.Call(ctx, to.member(), method, []byte("hello"))
	return string(response), err
}

func stopAll(ps ...*Peers) {
	for _, p := range ps {
		So(p.Stop(context.Background()), ShouldBeNil)
	}
}

// writeCredentials issues a certificate for an instance, writes it with its key and
// the authorities to files, and returns the settings that name the files.
func writeCredentials(dir, id string, a *peer.Authority, ca []byte) string {
	pair, err := a.Issue(id, validity)
	So(err, ShouldBeNil)
	files := map[string][]byte{"cert": pair.CertPEM, "key": pair.KeyPEM, "ca": ca}
	lines := "[peer]\n"
	for name, content := range files {
		file := filepath.Join(dir, id+"."+name)
		So(os.WriteFile(file, content, 0o600), ShouldBeNil)
		lines += fmt.Sprintf("tls_%s = %s\n", name, file)
	}
	return lines
}

func TestPeersWithSecrets(t *testing.T) {
	Convey("Given two instances that share a secret", t, func() {
		a, b := start("a", "secrets = "+secretA), start("b", "secrets = "+secretA)
		Convey("requests get a response, and handlers get the caller's ID", func() {
			response, err := call(a, b, "echo")
			So(err, ShouldBeNil)
			So(response, ShouldEqual, "a:hello")
			response, err = call(a, a, "echo")
			So(err, ShouldBeNil)
			So(response, ShouldEqual, "a:hello")
			stopAll(a, b)
		})
		Convey("errors show whether the handler ran", func() {
			_, err := call(a, b, "fail")
			var failed *kernel.PeerError
			So(errors.As(err, &failed), ShouldBeTrue)
			So(failed.Message, ShouldEqual, "no luck")
			_, err = call(a, b, "none")
			So(errors.Is(err, kernel.ErrPeerNotDelivered), ShouldBeTrue)
			to := b.member()
			to.ID = "c"
			_, err = a.Call(context.Background(), to, "echo", nil)
			So(errors.Is(err, kernel.ErrPeerNotDelivered), ShouldBeTrue)
			stopAll(b)
			_, err = call(a, b, "echo")
			So(errors.Is(err, kernel.ErrPeerNotDelivered), ShouldBeTrue)
			stopAll(a)
		})
		Convey("the caller's deadline cancels the handler's context, and the result is unknown or the handler's error", func() {
			ended := make(chan error, 1)
			b.Handle("slow", func(ctx context.Context, _ string, _ []byte) ([]byte, error) {
				<-ctx.Done()
				ended <- ctx.Err()
				return nil, ctx.Err()
			})
			_, err := call(a, b, "echo") // opens the connection
			So(err, ShouldBeNil)
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			_, err = a.Call(ctx, b.member(), "slow", nil)
			var failed *kernel.PeerError
			So(errors.Is(err, kernel.ErrPeerResultUnknown) || errors.As(err, &failed), ShouldBeTrue)
			So(<-ended, ShouldNotBeNil)
			stopAll(a, b)
		})
		Convey("Stop returns when its context ends, even if a handler does not", func() {
			entered, finish := make(chan struct{}), make(chan struct{})
			b.Handle("stuck", func(context.Context, string, []byte) ([]byte, error) {
				close(entered)
				<-finish
				return nil, nil
			})
			result := make(chan error, 1)
			go func() {
				_, err := call(a, b, "stuck")
				result <- err
			}()
			<-entered
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			So(b.Stop(ctx), ShouldNotBeNil)
			So(errors.Is(<-result, kernel.ErrPeerResultUnknown), ShouldBeTrue)
			close(finish)
			stopAll(a)
		})
		Convey("Stop waits for running requests, and new ones are not delivered", func() {
			entered, finish := make(chan struct{}), make(chan struct{})
			b.Handle("slow", func(context.Context, string, []byte) ([]byte, error) {
				close(entered)
				<-finish
				return []byte("whole"), nil
			})
			responses := make(chan string, 1)
			go func() {
				response, err := call(a, b, "slow")
				responses <- fmt.Sprint(response, err)
			}()
			<-entered
			stopped := make(chan error, 1)
			go func() { stopped <- b.Stop(context.Background()) }()
			for {
				if _, err := call(a, b, "echo"); err != nil {
					So(errors.Is(err, kernel.ErrPeerNotDelivered), ShouldBeTrue)
					break
				}
			}
			close(finish)
			So(<-responses, ShouldEqual, "whole<nil>")
			So(<-stopped, ShouldBeNil)
			stopAll(a)
		})
	})
	Convey("An instance with another secret is rejected", t, func() {
		a, b := start("a", "secrets = "+secretA), start("b", "secrets = "+secretB)
		_, err := call(a, b, "echo")
		So(errors.Is(err, kernel.ErrPeerNotDelivered), ShouldBeTrue)
		So(b.host.Counter(`peer_refused{reason="credentials"}`).Count(), ShouldBeGreaterThan, 0)
		stopAll(a, b)
	})
	Convey("An instance that does not listen for peers cannot send requests", t, func() {
		settings, err := kernel.Schema().Load("test.ini", []byte("[instance]\nid = a\nzone = z\n"))
		So(err, ShouldBeNil)
		in, err := kernel.NewInstance(settings, slog.New(slog.DiscardHandler), &slog.LevelVar{})
		So(err, ShouldBeNil)
		_, err = in.Host.Peers.Call(context.Background(), kernel.Member{ID: "b", PeerAddress: "127.0.0.1:1"}, "echo", nil)
		So(errors.Is(err, kernel.ErrPeerNotDelivered), ShouldBeTrue)
	})
}

func TestPeersWithCertificates(t *testing.T) {
	Convey("Given a certificate authority", t, func() {
		dir := t.TempDir()
		authority, err := peer.NewAuthority("test", validity)
		So(err, ShouldBeNil)
		a := start("a", writeCredentials(dir, "a", authority, authority.CertPEM))
		Convey("instances with its certificates exchange requests, each only under the ID in its certificate", func() {
			b := start("b", writeCredentials(dir, "b", authority, authority.CertPEM))
			response, err := call(a, b, "echo")
			So(err, ShouldBeNil)
			So(response, ShouldEqual, "a:hello")
			impostor := b.member()
			impostor.ID = "c"
			_, err = a.Call(context.Background(), impostor, "echo", nil)
			So(errors.Is(err, kernel.ErrPeerNotDelivered), ShouldBeTrue)
			stopAll(a, b)
		})
		Convey("an instance with a certificate of another authority is rejected as caller and as target", func() {
			other, err := peer.NewAuthority("other", validity)
			So(err, ShouldBeNil)
			b := start("b", writeCredentials(dir, "b", other, append(other.CertPEM, authority.CertPEM...)))
			_, err = call(a, b, "echo")
			So(errors.Is(err, kernel.ErrPeerNotDelivered), ShouldBeTrue)
			_, err = call(b, a, "echo")
			So(err, ShouldNotBeNil)
			stopAll(a, b)
		})
		Convey("the authority is replaced without interrupting requests between two instances", func() {
			b := start("b", writeCredentials(dir, "b", authority, authority.CertPEM))
			_, err := call(a, b, "echo")
			So(err, ShouldBeNil)
			next, err := peer.NewAuthority("next", validity)
			So(err, ShouldBeNil)
			both := append(append([]byte{}, authority.CertPEM...), next.CertPEM...)
			rotate := func(id string, issuer *peer.Authority, ca []byte) {
				p := map[string]*Peers{"a": a, "b": b}[id]
				before := p.credentials.Reloads()
				writeCredentials(dir, id, issuer, ca)
				for limit := time.Now().Add(testTimeout); p.credentials.Reloads() == before && time.Now().Before(limit); {
					time.Sleep(10 * time.Millisecond)
				}
				So(p.credentials.Reloads(), ShouldBeGreaterThan, before)
				_, err := call(a, b, "echo")
				So(err, ShouldBeNil)
			}
			rotate("a", authority, both)
			rotate("b", authority, both)
			rotate("a", next, both)
			rotate("b", next, both)
			stopAll(a, b)
		})
	})
}
