package settings

import (
	"crypto/tls"
	"crypto/x509"
	"net/netip"
	"os"

	"github.com/pkg/errors"

	"github.com/bramleywick/bramleywick/inifile"
)

// Listener names a listener in the settings, such as in [tls callers].
type Listener string

// Listeners of an instance.
const (
	ListenerCallers   Listener = "callers"
	ListenerOperators Listener = "operators"
	ListenerPeers     Listener = "peers"
	ListenerAdmin     Listener = "admin"
)

// TLS names the PEM files of a listener. The files are read again when they
// change.
type TLS struct {
	// CertificateFile and KeyFile hold the certificate chain and its private
	// key.
	CertificateFile string
	KeyFile         string
	// CAFile holds the authorities that sign the certificates of peers. It is
	// only set for the peers' listener, where both sides present a certificate.
	CAFile string
}

// Keys of a section [tls LISTENER].
const (
	keyCertificate = "certificate"
	keyPrivateKey  = "key"
	keyCA          = "ca"
)

// Credentials is the parsed content of the files of a TLS section.
type Credentials struct {
	Certificate tls.Certificate
	// Authorities is nil for a listener without CAFile.
	Authorities *x509.CertPool
}

// FileError reports a file that cannot be used. Key is the settings key that
// names it.
type FileError struct {
	Key string
	Err error
}

// Error implements error.
func (e *FileError) Error() string { return e.Key + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Err }

// PEMFiles holds the contents of the files of a TLS section. Two reads of
// unchanged files are equal.
type PEMFiles struct{ certificate, key, ca string }

// Read reads the files. Every error is a *FileError.
func (t TLS) Read() (PEMFiles, error) {
	var out PEMFiles
	for _, f := range []struct {
		key, path string
		text      *string
	}{{keyCertificate, t.CertificateFile, &out.certificate}, {keyPrivateKey, t.KeyFile, &out.key}, {keyCA, t.CAFile, &out.ca}} {
		if f.key == keyCA && f.path == "" {
			continue
		}
		text, err := os.ReadFile(f.path)
		if err != nil {
			return out, &FileError{f.key, err}
		}
		if len(text) == 0 {
			return out, &FileError{f.key, errors.New("the file is empty")}
		}
		*f.text = string(text)
	}
	return out, nil
}

// Parse parses the files. With authorities, the certificate must be signed by
// them for both the server and the client side of a connection. Every error is
// a *FileError.
func (x PEMFiles) Parse() (Credentials, error) {
	var m Credentials
	var err error
	if m.Certificate, err = tls.X509KeyPair([]byte(x.certificate), []byte(x.key)); err != nil {
		return m, &FileError{keyCertificate, err}
	}
	if x.ca == "" {
		return m, nil
	}
	m.Authorities = x509.NewCertPool()
	if !m.Authorities.AppendCertsFromPEM([]byte(x.ca)) {
		return m, &FileError{keyCA, errors.New("no certificate found")}
	}
	return m, m.verify()
}

// verify returns a *FileError if peers with the same authorities would not
// accept the certificate.
func (m Credentials) verify() error {
	chain := x509.NewCertPool()
	for _, raw := range m.Certificate.Certificate[1:] {
		if c, err := x509.ParseCertificate(raw); err == nil {
			chain.AddCert(c)
		}
	}
	for _, usage := range []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth} {
		_, err := m.Certificate.Leaf.Verify(x509.VerifyOptions{
			Roots: m.Authorities, Intermediates: chain, KeyUsages: []x509.ExtKeyUsage{usage},
		})
		if err != nil {
			return &FileError{keyCertificate, err}
		}
	}
	return nil
}

// decodeTLS reads a section [tls LISTENER] and its files.
func (s *Settings) decodeTLS(name string, section inifile.Section, dec *inifile.Decoder, faults *inifile.Faults) {
	listener := Listener(section.Name)
	switch listener {
	case ListenerCallers, ListenerOperators, ListenerPeers, ListenerAdmin:
	default:
		*faults = append(*faults, inifile.Fault{
			File: name, Line: section.Line, Message: "unknown listener [tls " + section.Name + "]",
			Expected: "[tls callers], [tls operators], [tls peers] or [tls admin]",
		})
	}
	if s.TLS == nil {
		s.TLS = map[Listener]TLS{}
	}
	files := TLS{
		CertificateFile: dec.Required(keyCertificate, "a PEM file with the certificate chain"),
		KeyFile:         dec.Required(keyPrivateKey, "a PEM file with the private key"),
	}
	if listener == ListenerPeers {
		files.CAFile = dec.Required(keyCA, "a PEM file with the authorities that sign the peers' certificates")
	}
	s.TLS[listener] = files
	if files.CertificateFile == "" || files.KeyFile == "" || listener == ListenerPeers && files.CAFile == "" {
		return
	}
	s.checkFiles(listener, files, dec)
}

// checkFiles records a fault for files that the listener could not use, and for
// a certificate of the peers' listener that is not valid for the address of
// this instance.
func (s *Settings) checkFiles(listener Listener, files TLS, dec *inifile.Decoder) {
	var m Credentials
	texts, err := files.Read()
	if err == nil {
		m, err = texts.Parse()
	}
	var bad *FileError
	if errors.As(err, &bad) {
		dec.ReportInvalid(bad.Key, "a usable PEM file: "+bad.Err.Error())
		return
	}
	if listener != ListenerPeers {
		return
	}
	if host, known := s.peerHost(); known {
		if err := m.Certificate.Leaf.VerifyHostname(host); err != nil {
			dec.ReportInvalid(keyCertificate, "a certificate for the address that peers connect to: "+err.Error())
		}
	}
}

// peerHost returns the IP address at which peers reach this instance, or false
// if that address is invalid or unspecified.
func (s *Settings) peerHost() (string, bool) {
	address := s.PeerAddress
	if address == "" {
		address = s.PeerListen
	}
	at, err := netip.ParseAddrPort(address)
	if err != nil || at.Addr().IsUnspecified() {
		return "", false
	}
	return at.Addr().String(), true
}
