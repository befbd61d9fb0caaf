package daemon

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"

	"github.com/bramleywick/bramleywick/settings"
)

// writeCertificate writes a new pair with the given serial number and date.
func writeCertificate(files settings.TLS, serial int64, modified time.Time) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	So(err, ShouldBeNil)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	So(err, ShouldBeNil)
	raw, err := x509.MarshalECPrivateKey(key)
	So(err, ShouldBeNil)
	for path, block := range map[string]*pem.Block{
		files.CertificateFile: {Type: "CERTIFICATE", Bytes: der}, files.KeyFile: {Type: "EC PRIVATE KEY", Bytes: raw},
	} {
		So(os.WriteFile(path, pem.EncodeToMemory(block), 0o600), ShouldBeNil)
		So(os.Chtimes(path, modified, modified), ShouldBeNil)
	}
}

// TestCertificateReload guards against a listener that keeps an old
// certificate, or loses its certificate to a broken file.
func TestCertificateReload(t *testing.T) {
	Convey("A certificate", t, func() {
		dir := t.TempDir()
		files := settings.TLS{CertificateFile: filepath.Join(dir, "c.pem"), KeyFile: filepath.Join(dir, "k.pem")}
		serial := func(c *certificate) int64 {
			current, err := c.get(nil)
			So(err, ShouldBeNil)
			return current.Leaf.SerialNumber.Int64()
		}
		began := time.Now()
		writeCertificate(files, 1, began)
		c, err := newCertificate(files, zap.NewNop())
		So(err, ShouldBeNil)
		c.period = 0
		So(serial(c), ShouldEqual, 1)
		writeCertificate(files, 2, began.Add(time.Second))
		So(serial(c), ShouldEqual, 2)
		So(os.WriteFile(files.KeyFile, []byte("broken"), 0o600), ShouldBeNil)
		So(os.Chtimes(files.KeyFile, began, began.Add(2*time.Second)), ShouldBeNil)
		So(serial(c), ShouldEqual, 2)
		writeCertificate(files, 3, began.Add(3*time.Second))
		So(serial(c), ShouldEqual, 3)
	})
}

// TestTLSListeners guards against a listener that stays plain, or one that
// starts without its certificate.
func TestTLSListeners(t *testing.T) {
	Convey("With TLS in the settings", t, func() {
		dir := t.TempDir()
		files := settings.TLS{CertificateFile: filepath.Join(dir, "c.pem"), KeyFile: filepath.Join(dir, "k.pem")}
		for _, purpose := range []settings.Listener{settings.ListenerCallers, settings.ListenerOperators, settings.ListenerPeers, settings.ListenerAdmin} {
			d := New(&settings.Settings{TLS: map[settings.Listener]settings.TLS{purpose: files}}, zap.NewNop())
			_ = os.Remove(files.CertificateFile)
			_, _, err := d.listen(purpose, "127.0.0.1:0", http.NotFoundHandler())
			So(err, ShouldNotBeNil)
			writeCertificate(files, 7, time.Now())
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
		s, err := settings.Parse("f", []byte(base+"[tls callers]\ncertificate = c\nkey = k\n"))
		So(err, ShouldBeNil)
		So(s.TLS[settings.ListenerCallers], ShouldResemble, settings.TLS{CertificateFile: "c", KeyFile: "k"})
		_, err = settings.Parse("f", []byte(base+"[tls caller]\ncertificate = c\nkey = k\n"))
		So(err.Error(), ShouldContainSubstring, "f:7: unknown listener [tls caller]")
		_, err = settings.Parse("f", []byte(base+"[tls callers]\ncertificate = c\n"))
		So(err.Error(), ShouldContainSubstring, "lacks key")
		_, err = settings.Parse("f", []byte(base+"[tls peers]\ncertificate = c\nkey = k\n"))
		So(err.Error(), ShouldContainSubstring, "f:7: [tls peers] is not supported yet")
	})
}
