package daemon

import "time"

// SetCertificateCheckPeriod sets the least time between two reads of certificate
// files and returns a function that restores the previous value.
func SetCertificateCheckPeriod(d time.Duration) (restore func()) {
	before := certificateCheckPeriod
	certificateCheckPeriod = d
	return func() { certificateCheckPeriod = before }
}
