package daemon

import (
	"crypto/tls"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/bramleywick/bramleywick/settings"
)

// certificateCheck is the shortest time between two looks at the files. Tests
// shorten it.
var certificateCheck = 10 * time.Second

// certificate is the TLS material of a listener, read again when its files
// change. Safe for concurrent use.
type certificate struct {
	files  settings.TLS
	log    *zap.Logger
	period time.Duration

	mu      sync.Mutex
	current *settings.Material
	seen    fileTimes
	checked time.Time
}

// fileTimes are the modification times of certificate, key and authorities. Each
// is compared on its own: a file may be replaced with one that is older than
// another of the three.
type fileTimes [3]time.Time

func newCertificate(files settings.TLS, log *zap.Logger) (*certificate, error) {
	c := &certificate{files: files, log: log, period: certificateCheck}
	if err := c.reload(); err != nil {
		return nil, err
	}
	return c, nil
}

// get implements tls.Config.GetCertificate.
func (c *certificate) get(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	return &c.material().Certificate, nil
}

// material returns what the files hold. Files that cannot be used leave the
// current material in use. A changed material is another pointer.
func (c *certificate) material() *settings.Material {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Since(c.checked) >= c.period {
		if err := c.reload(); err != nil {
			c.log.Warn("certificate not reloaded", zap.String("file", c.files.CertificateFile), zap.Error(err))
		}
	}
	return c.current
}

func (c *certificate) reload() error {
	c.checked = time.Now()
	seen, err := c.modified()
	if err != nil {
		return err
	}
	if c.current != nil && seen == c.seen {
		return nil
	}
	material, err := c.files.Load()
	if err != nil {
		return errors.Wrap(err, "load certificate")
	}
	c.current, c.seen = &material, seen
	c.log.Info("certificate loaded", zap.String("file", c.files.CertificateFile),
		zap.Time("not_after", material.Certificate.Leaf.NotAfter))
	return nil
}

func (c *certificate) modified() (times fileTimes, err error) {
	for i, file := range []string{c.files.CertificateFile, c.files.KeyFile, c.files.CAFile} {
		if file == "" {
			continue
		}
		info, err := os.Stat(file)
		if err != nil {
			return times, errors.Wrap(err, "read certificate")
		}
		times[i] = info.ModTime()
	}
	return times, nil
}
