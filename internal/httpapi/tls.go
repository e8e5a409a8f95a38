package httpapi

import (
	"crypto/tls"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/savoryfold/savoryfold/internal/filewatch"
)

// ServerTLS returns the TLS settings of a server whose certificate and key
// stand in files. Changed files are read anew, so that a certificate can be
// renewed without a stop; while the new files are not right, the last right
// certificate stays in use. It returns nil if both names are empty.
func ServerTLS(certFile, keyFile string) (*tls.Config, error) {
	if certFile == "" && keyFile == "" {
		return nil, nil
	}
	if certFile == "" || keyFile == "" {
		return nil, errors.New("tls_cert and tls_key go together")
	}
	c := newCertificateFiles(certFile, keyFile)
	if _, err := c.get(nil); err != nil {
		return nil, err
	}
	return &tls.Config{MinVersion: tls.VersionTLS12, GetCertificate: c.get}, nil
}

// certificateFiles is a certificate that follows its files.
type certificateFiles struct {
	cert, key string

	mu      sync.Mutex
	watch   filewatch.Watch  // guarded by mu
	current *tls.Certificate // guarded by mu
}

func newCertificateFiles(cert, key string) *certificateFiles {
	return &certificateFiles{cert: cert, key: key, watch: filewatch.Watch{Paths: []string{cert, key}}}
}

// get returns the certificate of the files, or the last right one.
func (c *certificateFiles) get(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	err := c.reload(time.Now())
	if c.current == nil {
		return nil, errors.Wrap(err, "certificate")
	}
	return c.current, nil
}

// reload reads the files if they changed. The caller holds mu.
func (c *certificateFiles) reload(now time.Time) error {
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
