package httpapi

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// writeCertificate writes a self-signed certificate with the given serial number.
func writeCertificate(t *testing.T, cert, key string, serial int64) {
	t.Helper()
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: "localhost"}, NotAfter: time.Now().Add(time.Hour)}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &private.PublicKey, private)
	if err != nil {
		t.Fatal(err)
	}
	secret, err := x509.MarshalECPrivateKey(private)
	if err != nil {
		t.Fatal(err)
	}
	for path, block := range map[string]*pem.Block{cert: {Type: "CERTIFICATE", Bytes: der}, key: {Type: "EC PRIVATE KEY", Bytes: secret}} {
		if err := os.WriteFile(path, pem.EncodeToMemory(block), 0o600); err != nil {
			t.Fatal(err)
		}
	}
}

func TestServerTLS(t *testing.T) {
	dir := t.TempDir()
	cert, key := filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem")
	now := time.Now()
	serial := func(c *certificateReloader) int64 {
		now = now.Add(time.Minute)
		_ = c.reload(now)
		leaf, err := x509.ParseCertificate(c.current.Certificate[0])
		So(err, ShouldBeNil)
		return leaf.SerialNumber.Int64()
	}
	// setTimes keeps the modification time of the key the newest, so that a change of
	// the certificate is found only if each file is checked.
	setTimes := func(n int) {
		So(os.Chtimes(key, now, now.Add(time.Hour)), ShouldBeNil)
		So(os.Chtimes(cert, now, now.Add(time.Duration(n)*time.Second)), ShouldBeNil)
	}
	Convey("A renewed certificate is used, an invalid one is not", t, func() {
		writeCertificate(t, cert, key, 1)
		setTimes(1)
		c := newCertificateReloader(cert, key)
		So(serial(c), ShouldEqual, 1)
		writeCertificate(t, cert, key, 2)
		setTimes(2)
		So(serial(c), ShouldEqual, 2)
		So(os.WriteFile(cert, []byte("half a file"), 0o600), ShouldBeNil)
		setTimes(3)
		So(serial(c), ShouldEqual, 2)
	})
	Convey("Both files must be set together, and neither means no TLS", t, func() {
		_, err := ServerTLS(cert, "")
		So(err, ShouldNotBeNil)
		config, err := ServerTLS("", "")
		So(err, ShouldBeNil)
		So(config, ShouldBeNil)
	})
}
