package daemon

import (
	"crypto/tls"
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
	current *settings.Credentials
	texts   settings.PEMFiles
	checked time.Time
}

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
func (c *certificate) material() *settings.Credentials {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Since(c.checked) >= c.period {
		if err := c.reload(); err != nil {
			c.log.Warn("certificate not reloaded", zap.String("file", c.files.CertificateFile), zap.Error(err))
		}
	}
	return c.current
}

// reload compares contents: the modification time of a file that is replaced
// while it is read, or by an older one, need not tell.
func (c *certificate) reload() error {
	c.checked = time.Now()
	texts, err := c.files.Read()
	if err != nil {
		return errors.Wrap(err, "read certificate")
	}
	if c.current != nil && texts == c.texts {
		return nil
	}
	material, err := texts.Parse()
	if err != nil {
		return errors.Wrap(err, "load certificate")
	}
	c.current, c.texts = &material, texts
	c.log.Info("certificate loaded", zap.String("file", c.files.CertificateFile),
		zap.Time("not_after", material.Certificate.Leaf.NotAfter))
	return nil
}
