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

// writeCertificate writes a self-signed certificate with a serial number.
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
	serial := func(c *certificateFiles) int64 {
		c.checked = time.Time{}
		pair, err := c.get(nil)
		So(err, ShouldBeNil)
		leaf, err := x509.ParseCertificate(pair.Certificate[0])
		So(err, ShouldBeNil)
		return leaf.SerialNumber.Int64()
	}
	Convey("A renewed certificate comes into use, a broken one does not", t, func() {
		writeCertificate(t, cert, key, 1)
		c := &certificateFiles{cert: cert, key: key}
		So(serial(c), ShouldEqual, 1)
		writeCertificate(t, cert, key, 2)
		So(os.Chtimes(cert, time.Now(), time.Now().Add(time.Minute)), ShouldBeNil)
		So(serial(c), ShouldEqual, 2)
		So(os.WriteFile(cert, []byte("half a file"), 0o600), ShouldBeNil)
		So(os.Chtimes(cert, time.Now(), time.Now().Add(2*time.Minute)), ShouldBeNil)
		So(serial(c), ShouldEqual, 2)
	})
	Convey("Both files go together, and neither means no TLS", t, func() {
		_, err := ServerTLS(cert, "")
		So(err, ShouldNotBeNil)
		config, err := ServerTLS("", "")
		So(err, ShouldBeNil)
		So(config, ShouldBeNil)
	})
}
