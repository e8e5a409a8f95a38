package httpapi

import (
	"crypto/tls"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/savoryfold/savoryfold/internal/filewatch"
)

// ServerTLS returns a TLS configuration that loads the certificate and the key from
// files. It reloads them when they change, so that a certificate can be renewed
// without a restart. If the new files are invalid, the last valid certificate stays
// in use. It returns nil if both file names are empty.
func ServerTLS(certFile, keyFile string) (*tls.Config, error) {
	if certFile == "" && keyFile == "" {
		return nil, nil
	}
	if certFile == "" || keyFile == "" {
		return nil, errors.New("tls_cert and tls_key must be set together")
	}
	c := newCertificateReloader(certFile, keyFile)
	if _, err := c.get(nil); err != nil {
		return nil, err
	}
	return &tls.Config{MinVersion: tls.VersionTLS12, GetCertificate: c.get}, nil
}

// certificateReloader provides a certificate and reloads it when its files change.
type certificateReloader struct {
	cert, key string

	mu      sync.Mutex
	watch   filewatch.Watch  // guarded by mu
	current *tls.Certificate // guarded by mu
}

func newCertificateReloader(cert, key string) *certificateReloader {
	return &certificateReloader{cert: cert, key: key, watch: filewatch.Watch{Paths: []string{cert, key}}}
}

// get returns the certificate in the files, or the last valid one.
func (c *certificateReloader) get(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	err := c.reload(time.Now())
	if c.current == nil {
		return nil, errors.Wrap(err, "certificate")
	}
	return c.current, nil
}

// reload reads the files if they have changed. The caller holds mu.
func (c *certificateReloader) reload(now time.Time) error {
	changed, err := c.watch.Changed(now)
	if err != nil || !changed {
		return err
	}
	pair, err := tls.LoadX509KeyPair(c.cert, c.key)
	if err != nil {
		c.watch.Retry()
		return err
	}
	c.current = &pair
	return nil
}
