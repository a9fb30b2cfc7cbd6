// Package certificates issues the certificates with which the servers of a measurement prove their names to each other.
package certificates

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"os"
	"path/filepath"
	"time"
)

// validity is how long the certificates are good for: longer than a measurement takes.
const validity = 24 * time.Hour

// Authority signs the certificates of one measurement, in a directory of its own.
type Authority struct {
	directory   string
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	issued      int64
}

// Files are the paths of an authority's certificate, and of a server's certificate and key.
type Files struct{ CA, Certificate, Key string }

// NewAuthority makes an authority and writes its certificate to a directory.
func NewAuthority(directory string) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("certificates: %w", err)
	}
	a := &Authority{directory: directory, key: key}
	template := a.template("authority")
	template.IsCA, template.BasicConstraintsValid = true, true
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, fmt.Errorf("certificates: %w", err)
	}
	if a.certificate, err = x509.ParseCertificate(der); err != nil {
		return nil, fmt.Errorf("certificates: %w", err)
	}
	return a, write(a.caFile(), "CERTIFICATE", der)
}

func (a *Authority) caFile() string { return filepath.Join(a.directory, "ca.crt") }

func (a *Authority) template(name string) *x509.Certificate {
	a.issued++
	now := time.Now()
	return &x509.Certificate{SerialNumber: big.NewInt(a.issued), Subject: pkix.Name{CommonName: name}, DNSNames: []string{name},
		NotBefore: now.Add(-time.Hour), NotAfter: now.Add(validity)}
}

// Issue writes a certificate and a key for a server's name.
func (a *Authority) Issue(name string) (Files, error) {
	files := Files{CA: a.caFile(), Certificate: filepath.Join(a.directory, name+".crt"), Key: filepath.Join(a.directory, name+".key")}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return files, fmt.Errorf("certificates: %w", err)
	}
	der, err := x509.CreateCertificate(rand.Reader, a.template(name), a.certificate, &key.PublicKey, a.key)
	if err != nil {
		return files, fmt.Errorf("certificates: %w", err)
	}
	private, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return files, fmt.Errorf("certificates: %w", err)
	}
	if err := write(files.Certificate, "CERTIFICATE", der); err != nil {
		return files, err
	}
	return files, write(files.Key, "PRIVATE KEY", private)
}

func write(path, kind string, der []byte) error {
	return os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600)
}
