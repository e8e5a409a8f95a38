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

// minSecretLength is the minimum length of a shared secret in bytes.
const minSecretLength = 16

// Secrets is an ordered list of shared secrets. The first one signs, and all are
// accepted for verification. To rotate a secret, append the new one, move it to the
// front, and remove the old one. Complete each step on all instances before the
// next.
type Secrets [][]byte

// ParseSecrets parses secrets, one per line. It ignores empty lines and lines that
// begin with #. The error does not contain a secret.
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

// computeHMAC returns the HMAC-SHA256 of the concatenated parts.
func computeHMAC(secret []byte, parts ...[]byte) []byte {
	mac := hmac.New(sha256.New, secret)
	for _, p := range parts {
		mac.Write(p)
	}
	return mac.Sum(nil)
}

// Keyring holds the current secrets. With a file, Reload replaces them when the
// file changes, and keeps them if the file is invalid. It is safe for concurrent
// use.
type Keyring struct {
	secrets atomic.Pointer[Secrets]
	reloads atomic.Uint64
	file    *filewatch.Watch
	mu      sync.Mutex
}

// NewKeyring returns a keyring with the fixed secrets or, if a file is given, with
// the secrets of the file only. The fixed secrets have to be valid in both cases.
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

// Secrets returns the current secrets.
func (k *Keyring) Secrets() Secrets { return *k.secrets.Load() }

// Reloads returns how many times the file was read successfully.
func (k *Keyring) Reloads() uint64 { return k.reloads.Load() }

// Reload reads the file if it changed, and reports whether the secrets were
// replaced. On an error it keeps the current secrets.
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
