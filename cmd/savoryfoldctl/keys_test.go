package main

import (
	"bytes"
	"path/filepath"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/savoryfold/savoryfold/peer"
)

func TestKeys(t *testing.T) {
	Convey("Given a certificate authority", t, func() {
		dir := filepath.Join(t.TempDir(), "keys")
		run := func(args ...string) error {
			cmd := command()
			cmd.SetArgs(append(args, "--dir", dir))
			cmd.SetOut(new(bytes.Buffer))
			return cmd.Execute()
		}
		So(run("keys", "authority", "rota"), ShouldBeNil)
		Convey("an issued certificate serves as an instance's credentials", func() {
			So(run("keys", "issue", "hobart-1"), ShouldBeNil)
			c, err := peer.NewCredentials("hobart-1", peer.CredentialFiles{
				Cert: filepath.Join(dir, "hobart-1.pem"), Key: filepath.Join(dir, "hobart-1-key.pem"), CA: filepath.Join(dir, "ca.pem"),
			})
			So(err, ShouldBeNil)
			So(c.SelfIssued(), ShouldBeFalse)
		})
		Convey("existing files are not overwritten", func() {
			So(run("keys", "authority", "rota"), ShouldNotBeNil)
		})
		Convey("a missing authority is an error", func() {
			dir = filepath.Join(t.TempDir(), "empty")
			So(run("keys", "issue", "hobart-1"), ShouldNotBeNil)
		})
	})
}
