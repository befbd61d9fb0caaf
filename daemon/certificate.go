package daemon

import (
	"crypto/tls"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/bramleywick/bramleywick/settings"
)

// certificateCheckPeriod is the least time between two reads of the certificate
// files. Tests shorten it.
var certificateCheckPeriod = 10 * time.Second

// certificate holds the TLS material of a listener and reloads it when its files
// change. Safe for concurrent use.
type certificate struct {
	files       settings.TLS
	log         *zap.Logger
	checkPeriod time.Duration

	mu        sync.Mutex
	current   *settings.Credentials
	texts     settings.PEMFiles
	checkedAt time.Time
}

// newCertificate returns the TLS material in files. It returns an error if the files
// cannot be used.
func newCertificate(files settings.TLS, log *zap.Logger) (*certificate, error) {
	c := &certificate{files: files, log: log, checkPeriod: certificateCheckPeriod}
	if err := c.reload(); err != nil {
		return nil, err
	}
	return c, nil
}

// get implements tls.Config.GetCertificate. It never returns an error.
func (c *certificate) get(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	return &c.material().Certificate, nil
}

// material returns the current TLS material. It reads the files again if
// checkPeriod has passed; files that cannot be used leave the current material in
// use. The pointer changes exactly when the material does.
func (c *certificate) material() *settings.Credentials {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Since(c.checkedAt) >= c.checkPeriod {
		if err := c.reload(); err != nil {
			c.log.Warn("certificate not reloaded", zap.String("file", c.files.CertificateFile), zap.Error(err))
		}
	}
	return c.current
}

// reload loads the files if their contents have changed. It does not compare
// modification times, because a file may be replaced while it is read, or by an older
// file. The caller holds the lock.
func (c *certificate) reload() error {
	c.checkedAt = time.Now()
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
