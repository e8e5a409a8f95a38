package peer

import (
	"crypto/hmac"
	"crypto/sha256"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/savoryfold/savoryfold/internal/filewatch"
)

// minSecretLength is the least number of characters in a shared secret.
const minSecretLength = 16

// Secrets is an ordered list of shared secrets: the first signs, all verify.
// To rotate, add the new secret last everywhere, then make it the first
// everywhere, then take the old one out everywhere.
type Secrets [][]byte

// ParseSecrets reads secrets that stand one a line; empty lines and lines that
// begin with # are left out. The error never shows a secret.
func ParseSecrets(text string) (Secrets, error) {
	var out Secrets
	for i, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		if len(line) < minSecretLength {
			return nil, errors.Errorf("secret %d is shorter than %d characters", i+1, minSecretLength)
		}
		out = append(out, []byte(line))
	}
	return out, nil
}

// computeHMAC is the HMAC-SHA256 of the parts.
func computeHMAC(secret []byte, parts ...[]byte) []byte {
	mac := hmac.New(sha256.New, secret)
	for _, p := range parts {
		mac.Write(p)
	}
	return mac.Sum(nil)
}

// Keyring gives the secrets in force. With a file it reads the file again when
// it changes, and keeps the secrets in force if the file is not right.
type Keyring struct {
	secrets atomic.Pointer[Secrets]
	reloads atomic.Uint64
	file    *filewatch.Watch
	mu      sync.Mutex
}

// NewKeyring makes a keyring from fixed secrets, or from a file if one is named.
func NewKeyring(fixed []string, file string) (*Keyring, error) {
	k := &Keyring{}
	parsed, err := ParseSecrets(strings.Join(fixed, "\n"))
	if err != nil {
		return nil, err
	}
	k.secrets.Store(&parsed)
	if file == "" {
		return k, nil
	}
	k.file = &filewatch.Watch{Paths: []string{file}}
	_, err = k.Reload(time.Now())
	return k, err
}

// Secrets returns the secrets in force.
func (k *Keyring) Secrets() Secrets { return *k.secrets.Load() }

// Reloads grows with every reload.
func (k *Keyring) Reloads() uint64 { return k.reloads.Load() }

// Reload reads the file again if it changed and reports whether it did.
func (k *Keyring) Reload(now time.Time) (bool, error) {
	if k.file == nil {
		return false, nil
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	changed, err := k.file.Changed(now)
	if err != nil || !changed {
		return false, err
	}
	text, err := os.ReadFile(k.file.Paths[0])
	if err != nil {
		return false, errors.Wrap(err, "secrets file")
	}
	parsed, err := ParseSecrets(string(text))
	if err != nil {
		return false, err
	}
	if len(parsed) == 0 {
		return false, errors.New("secrets file holds no secret")
	}
	k.secrets.Store(&parsed)
	k.reloads.Add(1)
	return true, nil
}
