package main

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/spf13/cobra"

	"github.com/savoryfold/savoryfold/internal/httpapi"
	"github.com/savoryfold/savoryfold/kernel"
	_ "github.com/savoryfold/savoryfold/plugins/standard"
	"github.com/savoryfold/savoryfold/standin"
)

const token = "operator-token"

// testEnv runs commands against an instance that uses a stand-in of the log
// service.
type testEnv struct {
	t      *testing.T
	dir    string
	server string
}

// logBuffer collects log lines. One of them holds the address of the
// administration API.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer // guarded by mu
}

// Write implements io.Writer.
func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

func (l *logBuffer) adminAddress() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, rest, _ := strings.Cut(l.text.String(), `msg="admin server listening" instance=a address=`)
	address, _, _ := strings.Cut(rest, "\n")
	return address
}

func newTestEnv(t *testing.T) *testEnv {
	service, err := standin.Listen("127.0.0.1:0", standin.NewLogService(0, 0).Handler())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = service.Close() })
	text := fmt.Sprintf("[instance]\nid = a\nzone = hobart\n[entry]\nlisten = 127.0.0.1:0\ndrain = 10ms\n[policy]\nmembership = static\nclaims = memory\n[platform]\nlog = %s\n[admin]\nlisten = 127.0.0.1:0\n[operator alice]\nrights = edit\ntoken_sha256 = %s\n",
		service.Address(), httpapi.HashToken(token))
	settings, err := kernel.Schema().Load("t.ini", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	var logs logBuffer
	in, err := kernel.NewInstance(settings, slog.New(slog.NewTextHandler(&logs, nil)), &slog.LevelVar{})
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- in.Run(context.Background()) }()
	t.Cleanup(func() {
		in.Shutdown()
		for in.State() != kernel.StateStopped {
			time.Sleep(5 * time.Millisecond)
		}
	})
	b := &testEnv{t: t, dir: t.TempDir()}
	b.file("token", token+"\n")
	for end := time.Now().Add(30 * time.Second); in.State() != kernel.StateReady; time.Sleep(5 * time.Millisecond) {
		select {
		case err := <-done:
			t.Fatal("the instance stopped before it was ready", err)
		default:
		}
		if time.Now().After(end) {
			t.Fatal("the instance is not ready after 30 s")
		}
	}
	b.server = "http://" + logs.adminAddress()
	return b
}

func (b *testEnv) file(name, text string) string {
	path := filepath.Join(b.dir, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		b.t.Fatal(err)
	}
	return path
}

// run runs a command and returns its output and its exit code.
func (b *testEnv) run(line string) (string, int) {
	cmd := command()
	var out bytes.Buffer
	cmd.SetOut(&out)
	cmd.SetIn(strings.NewReader("key\n"))
	cmd.SetArgs(append([]string{"--server", b.server, "--token-file", filepath.Join(b.dir, "token")}, strings.Fields(line)...))
	err := cmd.Execute()
	if err == nil {
		return out.String(), 0
	}
	return out.String() + err.Error(), exitCode(err)
}

const tables = `[route answer]
stages = generate
generate.pool = engines
[pool engines]
versioned = true
server.g1 = zone=hobart addr=127.0.0.1:1 version=v1
[account demo]
key_sha256 = 2c70e12b7a0646f92279f427c7b38e7334d8e5389cff167a1dc30e73f826b683
`

func TestOperatorsCommands(t *testing.T) {
	Convey("Given an instance without tables", t, func() {
		b := newTestEnv(t)
		must := func(line, want string) {
			out, code := b.run(line)
			So(out, ShouldContainSubstring, want)
			So(code, ShouldEqual, 0)
		}
		fails := func(line string, want int, text string) {
			out, code := b.run(line)
			So(out, ShouldContainSubstring, text)
			So(code, ShouldEqual, want)
			So(out, ShouldNotContainSubstring, token)
		}
		load := "tables load " + b.file("tables.ini", tables)
		must(load, "3 sections put, 0 unchanged, revision 3, active on 1 of 1 instances")
		Convey("loading the same file again changes nothing", func() {
			must(load, "0 sections put, 3 unchanged, revision 3")
			out, _ := b.run("tables get")
			must("tables load "+b.file("again.ini", out), "0 sections put, 3 unchanged")
		})
		Convey("loading a saved copy restores a deleted section", func() {
			out, _ := b.run("tables get")
			must("accounts delete demo", "accepted")
			must("tables load "+b.file("copy.ini", out), "1 sections put, 2 unchanged")
		})
		Convey("a section that was read is put based on the revision read, and only once", func() {
			shown, _ := b.run("routes get answer")
			path := b.file("answer.ini", shown+"priority = 3\n")
			must("routes put "+path, "[route answer] accepted, revision 4, active on 1 of 1")
			fails("routes put "+path, exitSuperseded, "superseded by alice, its revision is now 4")
			must("routes put "+path+" --base 4", "accepted")
			fails("routes put "+b.file("bad.ini", "[route bad]\nstages = x\nx.pool = none\n"), exitUsage, `no pool "none"`)
			must("routes list", "answer")
			fails("pools delete engines", exitUsage, "no pool")
			must("accounts delete demo", "accepted")
		})
		Convey("an edit sent again with its ID is the same edit", func() {
			must("zone out hobart --id 42", "revision 4")
			must("zone out hobart --id 42 --base 0", "revision 4")
			must("zone in hobart", "revision 5")
		})
		Convey("a rollout of a version starts and stops, and a version is pinned", func() {
			must("version move answer --from v1 --to v2 --by +30m", "accepted")
			must("routes get answer", "move.to = v2")
			must("version stop answer", "accepted")
			must("routes get answer", "version = v1")
			must("version pin answer", "accepted")
			fails("version stop answer", exitFailed, "no move")
		})
		Convey("the state can be inspected", func() {
			must("moves", "")
			must("members", "hobart")
			must("applied 3", "active on 1 of 1")
			must("dump", `"revision": 3`)
			must("log config", `"section":"account demo"`)
			must("log-level debug", "")
			must("--json tables get", `"revision": 3`)
			must("hash", httpapi.HashToken("key"))
			must("hash --new", "sha256")
		})
		Convey("errors set the exit code", func() {
			fails("applied x", exitUsage, "whole number")
			fails("nonsense", exitUsage, "unknown command")
			fails("zone out", exitUsage, "accepts 1 arg")
			fails("version move answer", exitUsage, "required flag")
			fails("routes get nothing", exitFailed, "no section")
			b.file("token", "wrong-"+token)
			fails("tables get", exitFailed, "401 Unauthorized")
		})
	})
	Convey("Every command has an example and a short description", t, func() {
		var visit func(c *cobra.Command)
		visit = func(c *cobra.Command) {
			for _, sub := range c.Commands() {
				So(sub.Short, ShouldNotBeEmpty)
				So(sub.Example, ShouldNotBeEmpty)
				visit(sub)
			}
		}
		visit(command())
	})
}
