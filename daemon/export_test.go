package daemon

import "time"

// CheckCertificatesEvery sets how often certificate files are looked at.
func CheckCertificatesEvery(d time.Duration) (restore func()) {
	before := certificateCheck
	certificateCheck = d
	return func() { certificateCheck = before }
}
