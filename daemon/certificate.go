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

// certificateCheck is the shortest time between two looks at the files.
const certificateCheck = 10 * time.Second

// certificate is a listener's certificate, read again when its files change.
// Safe for concurrent use.
type certificate struct {
	files  settings.TLS
	log    *zap.Logger
	period time.Duration

	mu      sync.Mutex
	current *tls.Certificate
	changed time.Time // the later modification time of the two files
	checked time.Time
}

func newCertificate(files settings.TLS, log *zap.Logger) (*certificate, error) {
	c := &certificate{files: files, log: log, period: certificateCheck}
	if err := c.reload(); err != nil {
		return nil, err
	}
	return c, nil
}

// get implements tls.Config.GetCertificate. Files that cannot be read leave the
// current certificate in use.
func (c *certificate) get(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Since(c.checked) >= c.period {
		if err := c.reload(); err != nil {
			c.log.Warn("certificate not reloaded", zap.String("file", c.files.CertificateFile), zap.Error(err))
		}
	}
	return c.current, nil
}

func (c *certificate) reload() error {
	c.checked = time.Now()
	changed, err := c.modified()
	if err != nil {
		return err
	}
	if c.current != nil && changed.Equal(c.changed) {
		return nil
	}
	pair, err := tls.LoadX509KeyPair(c.files.CertificateFile, c.files.KeyFile)
	if err != nil {
		return errors.Wrap(err, "load certificate")
	}
	c.current, c.changed = &pair, changed
	c.log.Info("certificate loaded", zap.String("file", c.files.CertificateFile), zap.Time("not_after", pair.Leaf.NotAfter))
	return nil
}

func (c *certificate) modified() (time.Time, error) {
	var latest time.Time
	for _, file := range []string{c.files.CertificateFile, c.files.KeyFile} {
		info, err := os.Stat(file)
		if err != nil {
			return time.Time{}, errors.Wrap(err, "read certificate")
		}
		if info.ModTime().After(latest) {
			latest = info.ModTime()
		}
	}
	return latest, nil
}
