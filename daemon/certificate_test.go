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

// writeCertificate writes a new pair with the given serial number and date.
func writeCertificate(signer *ca.Authority, files settings.TLS, serial int64, modified time.Time) {
	pair, err := signer.Issue(serial, time.Hour)
	So(err, ShouldBeNil)
	So(ca.Write(pair, files.CertificateFile, files.KeyFile), ShouldBeNil)
	for _, path := range []string{files.CertificateFile, files.KeyFile} {
		So(os.Chtimes(path, modified, modified), ShouldBeNil)
	}
}

func newAuthority() *ca.Authority {
	authority, err := ca.New("fleet")
	So(err, ShouldBeNil)
	return authority
}

// pemFiles names the files of a listener in a new directory.
func pemFiles(t *testing.T) settings.TLS {
	dir := t.TempDir()
	return settings.TLS{CertificateFile: filepath.Join(dir, "c.pem"), KeyFile: filepath.Join(dir, "k.pem")}
}

// TestCertificateReload guards against a listener that keeps an old
// certificate, or loses its certificate to a broken file.
func TestCertificateReload(t *testing.T) {
	Convey("A certificate", t, func() {
		files, signer := pemFiles(t), newAuthority()
		serial := func(c *certificate) int64 {
			current, err := c.get(nil)
			So(err, ShouldBeNil)
			return current.Leaf.SerialNumber.Int64()
		}
		began := time.Now()
		writeCertificate(signer, files, 1, began)
		c, err := newCertificate(files, zap.NewNop())
		So(err, ShouldBeNil)
		c.period = 0
		So(serial(c), ShouldEqual, 1)
		writeCertificate(signer, files, 2, began.Add(time.Second))
		So(serial(c), ShouldEqual, 2)
		So(os.WriteFile(files.KeyFile, []byte("broken"), 0o600), ShouldBeNil)
		So(os.Chtimes(files.KeyFile, began, began.Add(2*time.Second)), ShouldBeNil)
		So(serial(c), ShouldEqual, 2)
		writeCertificate(signer, files, 3, began.Add(3*time.Second))
		So(serial(c), ShouldEqual, 3)
		// A pair that was made earlier than the one that it replaces.
		writeCertificate(signer, files, 4, began.Add(-time.Minute))
		So(serial(c), ShouldEqual, 4)
	})
}

// TestTLSListeners guards against a listener that stays plain, or one that
// starts without its certificate.
func TestTLSListeners(t *testing.T) {
	Convey("With TLS in the settings", t, func() {
		files, signer := pemFiles(t), newAuthority()
		for _, purpose := range []settings.Listener{settings.ListenerCallers, settings.ListenerOperators, settings.ListenerPeers, settings.ListenerAdmin} {
			d := New(&settings.Settings{TLS: map[settings.Listener]settings.TLS{purpose: files}}, zap.NewNop())
			_ = os.Remove(files.CertificateFile)
			_, _, err := d.listen(purpose, "127.0.0.1:0", http.NotFoundHandler())
			So(err, ShouldNotBeNil)
			writeCertificate(signer, files, 7, time.Now())
			server, address, err := d.listen(purpose, "127.0.0.1:0", http.NotFoundHandler())
			So(err, ShouldBeNil)
			conn, err := tls.Dial("tcp", address, &tls.Config{InsecureSkipVerify: true})
			So(err, ShouldBeNil)
			So(conn.ConnectionState().PeerCertificates[0].SerialNumber.Int64(), ShouldEqual, 7)
			_ = conn.Close()
			_ = server.Close()
		}
	})
	Convey("Settings name the files, and faults name the line", t, func() {
		const base = "[instance]\nid = i\ndata_centre = a\n[listen]\n[platform]\nurl = http://127.0.0.1:7000\n"
		files, signer := pemFiles(t), newAuthority()
		writeCertificate(signer, files, 1, time.Now())
		write := func(name string, text []byte) string {
			path := filepath.Join(filepath.Dir(files.KeyFile), name)
			So(os.WriteFile(path, text, 0o600), ShouldBeNil)
			return path
		}
		trusted, strange := write("ca.pem", ca.PEM(signer)), write("other.pem", ca.PEM(newAuthority()))
		broken := write("broken.pem", []byte("broken"))
		section := func(listener, certificate, key, authorities string) string {
			text := base
			for _, line := range [][2]string{{"[tls ", listener + "]"}, {"certificate = ", certificate}, {"key = ", key}, {"ca = ", authorities}} {
				if line[1] != "" {
					text += line[0] + line[1] + "\n"
				}
			}
			return text
		}
		s, err := settings.Parse("f", []byte(section("callers", files.CertificateFile, files.KeyFile, "")))
		So(err, ShouldBeNil)
		So(s.TLS[settings.ListenerCallers], ShouldResemble, files)
		s, err = settings.Parse("f", []byte(section("peers", files.CertificateFile, files.KeyFile, trusted)))
		So(err, ShouldBeNil)
		files.CAFile = trusted
		So(s.TLS[settings.ListenerPeers], ShouldResemble, files)
		for _, c := range []struct{ text, want string }{
			{section("caller", files.CertificateFile, files.KeyFile, ""), "f:7: unknown listener [tls caller]"},
			{section("callers", files.CertificateFile, "", ""), "lacks key"},
			{section("callers", "/nonexistent/c", files.KeyFile, ""), "f:8: certificate = "},
			{section("callers", files.CertificateFile, "/nonexistent/k", ""), "f:9: key = "},
			{section("admin", broken, files.KeyFile, ""), "f:8: certificate = "},
			{section("callers", files.CertificateFile, files.KeyFile, trusted), `f:10: unknown key "ca" in [tls callers]`},
			{section("peers", files.CertificateFile, files.KeyFile, ""), "[tls peers] lacks ca"},
			{section("peers", files.CertificateFile, files.KeyFile, "/nonexistent/ca"), "f:10: ca = "},
			{section("peers", files.CertificateFile, files.KeyFile, broken), "f:10: ca = "},
			{section("peers", files.CertificateFile, files.KeyFile, strange), "unknown authority"},
			{section("peers", files.CertificateFile, files.KeyFile, trusted) + "[peers]\naddress = 127.0.0.2:1\n", "valid for 127.0.0.1"},
		} {
			_, err = settings.Parse("f", []byte(c.text))
			So(err, ShouldNotBeNil)
			So(err.Error(), ShouldStartWith, "f:")
			So(err.Error(), ShouldContainSubstring, c.want)
		}
	})
}
