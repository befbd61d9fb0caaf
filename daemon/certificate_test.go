package daemon

import (
	"crypto/tls"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"

	"github.com/bramleywick/bramleywick/settings"
	"github.com/bramleywick/bramleywick/standin/ca"
)

// pki signs certificates and writes them to one directory.
type pki struct {
	dir    string
	signer *ca.Authority
}

func newPKI(t *testing.T) *pki {
	signer, err := ca.New("fleet")
	So(err, ShouldBeNil)
	return &pki{t.TempDir(), signer}
}

// write writes a new certificate and key with the given serial number and
// modification time.
func (p *pki) write(serial int64, modified time.Time) settings.TLS {
	f := ca.FilesIn(p.dir, "i")
	So(f.Issue(p.signer, serial, time.Hour), ShouldBeNil)
	So(f.Trust(p.signer), ShouldBeNil)
	So(os.Chtimes(f.Certificate, modified, modified), ShouldBeNil)
	So(os.Chtimes(f.Key, modified, modified), ShouldBeNil)
	return settings.TLS{CertificateFile: f.Certificate, KeyFile: f.Key}
}

// TestCertificateReload guards against a listener that keeps an old certificate or
// loses its certificate because of a broken file.
func TestCertificateReload(t *testing.T) {
	Convey("A certificate", t, func() {
		p := newPKI(t)
		serial := func(c *certificate) int64 {
			current, err := c.get(nil)
			So(err, ShouldBeNil)
			return current.Leaf.SerialNumber.Int64()
		}
		began := time.Now()
		files := p.write(1, began)
		c, err := newCertificate(files, zap.NewNop())
		So(err, ShouldBeNil)
		c.checkPeriod = 0
		So(serial(c), ShouldEqual, 1)
		p.write(2, began.Add(time.Second))
		So(serial(c), ShouldEqual, 2)
		So(os.WriteFile(files.KeyFile, []byte("broken"), 0o600), ShouldBeNil)
		So(os.Chtimes(files.KeyFile, began, began.Add(2*time.Second)), ShouldBeNil)
		So(serial(c), ShouldEqual, 2)
		p.write(3, began.Add(3*time.Second))
		So(serial(c), ShouldEqual, 3)
		// The new files are older than those that they replace.
		p.write(4, began.Add(-time.Minute))
		So(serial(c), ShouldEqual, 4)
		// The new files have the same times as those that they replace.
		p.write(5, began.Add(-time.Minute))
		So(serial(c), ShouldEqual, 5)
	})
}

// TestTLSListeners guards against a listener without TLS, and against one that
// starts without its certificate.
func TestTLSListeners(t *testing.T) {
	Convey("With TLS in the settings", t, func() {
		p := newPKI(t)
		files := p.write(6, time.Now())
		for _, purpose := range []settings.Listener{settings.ListenerCallers, settings.ListenerOperators, settings.ListenerPeers, settings.ListenerAdmin} {
			d := New(&settings.Settings{TLS: map[settings.Listener]settings.TLS{purpose: files}}, zap.NewNop())
			So(os.Remove(files.CertificateFile), ShouldBeNil)
			_, _, err := d.listen(purpose, "127.0.0.1:0", http.NotFoundHandler())
			So(err, ShouldNotBeNil)
			p.write(7, time.Now())
			server, address, err := d.listen(purpose, "127.0.0.1:0", http.NotFoundHandler())
			So(err, ShouldBeNil)
			conn, err := tls.Dial("tcp", address, &tls.Config{InsecureSkipVerify: true})
			So(err, ShouldBeNil)
			So(conn.ConnectionState().PeerCertificates[0].SerialNumber.Int64(), ShouldEqual, 7)
			_ = conn.Close()
			_ = server.Close()
		}
	})
	Convey("Settings hold the files' paths, and errors name the line", t, func() {
		const base = "[instance]\nid = i\ndata_centre = a\n[listen]\n[platform]\nurl = http://127.0.0.1:7000\n"
		files := newPKI(t).write(1, time.Now())
		trusted := ca.FilesIn(filepath.Dir(files.KeyFile), "i").Authorities
		untrusted := newPKI(t)
		untrusted.write(1, time.Now())
		pair := "certificate = " + files.CertificateFile + "\nkey = " + files.KeyFile + "\n"
		s, err := settings.Parse("f", []byte(base+"[tls callers]\n"+pair))
		So(err, ShouldBeNil)
		So(s.TLS[settings.ListenerCallers], ShouldResemble, files)
		s, err = settings.Parse("f", []byte(base+"[tls peers]\n"+pair+"ca = "+trusted))
		So(err, ShouldBeNil)
		files.CAFile = trusted
		So(s.TLS[settings.ListenerPeers], ShouldResemble, files)
		for _, c := range []struct{ text, want string }{
			{"[tls caller]\n" + pair, "f:7: unknown listener [tls caller]"},
			{"[tls callers]\ncertificate = " + trusted, "lacks key"},
			{"[tls callers]\ncertificate = /no\nkey = " + files.KeyFile, "f:8: certificate = "},
			{"[tls admin]\ncertificate = " + trusted + "\nkey = /no", "f:9: key = "},
			{"[tls admin]\ncertificate = " + trusted + "\nkey = " + files.KeyFile, "f:8: certificate = "},
			{"[tls callers]\n" + pair + "ca = " + trusted, `f:10: unknown key "ca" in [tls callers]`},
			{"[tls peers]\n" + pair, "[tls peers] lacks ca"},
			{"[tls peers]\n" + pair + "ca = /no", "f:10: ca = "},
			{"[tls peers]\n" + pair + "ca = " + files.KeyFile, "no certificate found"},
			{"[tls peers]\n" + pair + "ca = " + ca.FilesIn(untrusted.dir, "i").Authorities, "f:8: certificate = "},
			{"[tls peers]\n" + pair + "ca = " + trusted + "\n[peers]\naddress = 127.0.0.2:1", "valid for 127.0.0.1"},
		} {
			_, err = settings.Parse("f", []byte(base+c.text+"\n"))
			So(err, ShouldNotBeNil)
			So(err.Error(), ShouldStartWith, "f:")
			So(err.Error(), ShouldContainSubstring, c.want)
		}
	})
}
