package daemon

import "time"

// SetCertificateCheckPeriod sets how often certificate files are looked at.
func SetCertificateCheckPeriod(d time.Duration) (restore func()) {
	before := certificateCheck
	certificateCheck = d
	return func() { certificateCheck = before }
}
