// Package ca is a small certificate authority for development and tests.
package ca

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"
)

// Authority is a certificate authority that signs certificates for 127.0.0.1.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// New returns an authority with a new key, valid for 24 hours.
func New(name string) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "make the authority's key")
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name}, NotAfter: time.Now().Add(24 * time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	raw, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return nil, errors.Wrap(err, "sign the authority's certificate")
	}
	cert, err := x509.ParseCertificate(raw)
	return &Authority{cert: cert, key: key}, errors.Wrap(err, "parse the authority's certificate")
}

// Pool returns a certificate pool that holds the given authorities.
func Pool(authorities ...*Authority) *x509.CertPool {
	pool := x509.NewCertPool()
	for _, a := range authorities {
		pool.AddCert(a.cert)
	}
	return pool
}

// Issue signs a certificate for 127.0.0.1 that either side of a connection may
// present, valid for the given time from now.
func (a *Authority) Issue(serial int64, valid time.Duration) (tls.Certificate, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return tls.Certificate{}, errors.Wrap(err, "make a key")
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), NotAfter: time.Now().Add(valid), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	raw, err := x509.CreateCertificate(rand.Reader, template, a.cert, key.Public(), a.key)
	return tls.Certificate{Certificate: [][]byte{raw}, PrivateKey: key}, errors.Wrap(err, "sign a certificate")
}

// Files holds the paths of the PEM files of one certificate's holder.
type Files struct{ Certificate, Key, Authorities string }

// FilesIn returns the paths of a holder's files in a directory.
func FilesIn(dir, holder string) Files {
	path := filepath.Join(dir, holder)
	return Files{path + ".pem", path + ".key", path + ".ca.pem"}
}

// Issue writes a new key and certificate signed by signer, valid for the given time
// from now.
func (f Files) Issue(signer *Authority, serial int64, valid time.Duration) error {
	pair, err := signer.Issue(serial, valid)
	if err != nil {
		return err
	}
	key, err := x509.MarshalPKCS8PrivateKey(pair.PrivateKey)
	if err != nil {
		return errors.Wrap(err, "encode the key")
	}
	if err := writePEM(f.Key, &pem.Block{Type: "PRIVATE KEY", Bytes: key}); err != nil {
		return err
	}
	return writePEM(f.Certificate, &pem.Block{Type: "CERTIFICATE", Bytes: pair.Certificate[0]})
}

// Trust writes the authorities that the holder trusts.
func (f Files) Trust(authorities ...*Authority) error {
	var blocks []*pem.Block
	for _, a := range authorities {
		blocks = append(blocks, &pem.Block{Type: "CERTIFICATE", Bytes: a.cert.Raw})
	}
	return writePEM(f.Authorities, blocks...)
}

// writePEM replaces a file atomically, so that no reader sees a part of it.
func writePEM(path string, blocks ...*pem.Block) error {
	var text []byte
	for _, b := range blocks {
		text = append(text, pem.EncodeToMemory(b)...)
	}
	if err := os.WriteFile(path+".new", text, 0o600); err != nil {
		return errors.Wrap(err, "write PEM file")
	}
	return errors.Wrap(os.Rename(path+".new", path), "replace PEM file")
}
