package httpapi

import (
	"crypto/tls"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// certificateCheck is the least time between two looks at a certificate's files.
const certificateCheck = time.Second

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
	c := &certificateFiles{cert: certFile, key: keyFile}
	if _, err := c.get(nil); err != nil {
		return nil, err
	}
	return &tls.Config{MinVersion: tls.VersionTLS12, GetCertificate: c.get}, nil
}

// certificateFiles is a certificate that follows its files.
type certificateFiles struct {
	cert, key string

	mu       sync.Mutex
	current  *tls.Certificate // guarded by mu
	checked  time.Time        // guarded by mu
	modified time.Time        // newest of both files; guarded by mu
}

func (c *certificateFiles) get(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if c.current != nil && now.Sub(c.checked) < certificateCheck {
		return c.current, nil
	}
	c.checked = now
	if err := c.reload(); err != nil && c.current == nil {
		return nil, err
	}
	return c.current, nil
}

// reload reads the files if they changed. The caller holds mu.
func (c *certificateFiles) reload() error {
	modified, err := newest(c.cert, c.key)
	if err != nil || (c.current != nil && modified.Equal(c.modified)) {
		return err
	}
	pair, err := tls.LoadX509KeyPair(c.cert, c.key)
	if err != nil {
		return errors.Wrap(err, "certificate")
	}
	c.current = &pair
	c.modified = modified
	return nil
}

// newest is the latest time of modification of the files.
func newest(paths ...string) (time.Time, error) {
	var t time.Time
	for _, path := range paths {
		info, err := os.Stat(path)
		if err != nil {
			return t, errors.Wrap(err, "certificate")
		}
		if info.ModTime().After(t) {
			t = info.ModTime()
		}
	}
	return t, nil
}
