package crowd

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"maps"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/savoryfold/savoryfold/test/harness"
)

// startSmall returns a function that starts an instance on the small machine.
func startSmall(programs harness.Binaries) func(t *testing.T) *process {
	return func(t *testing.T) *process { return startInstance(t, programs.Instance) }
}

// TestCrowdOfLargestBodies guards against bodies that take more memory than is counted for
// them: what is copied while they grow, and what the garbage collector has not freed yet.
func TestCrowdOfLargestBodies(t *testing.T) {
	start := startSmall(build(t))
	playKinds(t, largestBodies(bodyBytes), start)
	t.Run("all at once, keys of one account", func(t *testing.T) {
		play(t, start(t), callers, &crowd{kinds: largestBodies(bodyBytes), oneAccount: true})
	})
}

// TestCrowdOfUnreadBodies guards against bytes that are received and not read, behind requests
// that are refused or wait.
func TestCrowdOfUnreadBodies(t *testing.T) {
	playKinds(t, unreadBodies(bodyBytes, "/wait/", keyOf(0)), startSmall(build(t)))
}

// TestCrowdOfSlowReaders guards against callers that read so slowly that responses wait at the
// instance, and never stop reading.
func TestCrowdOfSlowReaders(t *testing.T) {
	playKinds(t, slowReaders(), startSmall(build(t)))
}

// TestCrowdAtInternalAddresses guards against callers that reach an address that is not meant
// for them.
func TestCrowdAtInternalAddresses(t *testing.T) {
	playKinds(t, internalAddresses(), startSmall(build(t)))
}

// TestCrowdOnLargeMachine plays callers that send up to the limits of a large machine.
func TestCrowdOnLargeMachine(t *testing.T) {
	large := machine{memory: 536 << 20, descriptors: 8192, bodyBytes: 4 << 20}
	const largeCrowd = 6000
	programs := build(t)
	for _, k := range []struct {
		name  string
		kinds []kind
	}{
		{"largest bodies", largestBodies(large.bodyBytes)},
		{"unread bodies", unreadBodies(large.bodyBytes, "/wait/", keyOf(0))},
		{"slow readers", slowReaders()},
	} {
		t.Run(k.name, func(t *testing.T) { play(t, startOn(t, programs.Instance, large), largeCrowd, &crowd{kinds: k.kinds}) })
	}
}

const (
	ownPath = "/v1/routes/answer"
	ownWait = "/v1/routes/wait"
	ownKey  = "yard-key"
)

// ownKinds are callers of the project's own interface.
func ownKinds() []kind {
	return append(largestBodies(bodyBytes)[:5], unreadBodies(bodyBytes, ownWait+"?", ownKey)...)
}

// TestCrowdOnOwnInterface plays callers that send up to the limits of the own interface.
func TestCrowdOnOwnInterface(t *testing.T) {
	programs := build(t)
	start := func(t *testing.T) *process { return startOwn(t, programs) }
	playKinds(t, ownKinds(), start)
	playKinds(t, adminAddress(), start)
}

// TestCrowdWithTLS plays callers of the own interface that use TLS, with HTTP/1.1 and HTTP/2.
func TestCrowdWithTLS(t *testing.T) {
	programs := build(t)
	cert, key := writeCertificate(t)
	settings := harness.Settings{"entry": maps.Clone(ownLimits["entry"])}
	settings["entry"]["tls_cert"], settings["entry"]["tls_key"] = cert, key
	start := func(t *testing.T) *process { return startOwnWith(t, programs, settings) }
	own := ownKinds()
	playKinds(t, withTLS([]kind{own[0], own[1], own[2], own[5], own[11], {name: "a head without an end", raw: kinds[6].raw}, {name: "nothing", raw: nothing}}), start)
	playKinds(t, multiplexed(ownPath, ownWait, ownKey), start)
	t.Run("no handshake", func(t *testing.T) { play(t, start(t), callers, &crowd{kinds: []kind{{raw: nothing}}}) })
}

// writeCertificate writes a self-signed certificate and its key, and returns their files.
func writeCertificate(t *testing.T) (cert, key string) {
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour)}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &private.PublicKey, private)
	if err != nil {
		t.Fatal(err)
	}
	encoded, err := x509.MarshalECPrivateKey(private)
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	write := func(name, kind string, data []byte) string {
		file := filepath.Join(dir, name)
		if err := os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: data}), 0o600); err != nil {
			t.Fatal(err)
		}
		return file
	}
	return write("cert.pem", "CERTIFICATE", der), write("key.pem", "EC PRIVATE KEY", encoded)
}
