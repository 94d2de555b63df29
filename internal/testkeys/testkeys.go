// Package testkeys creates short-lived certificates and keys for tests.
package testkeys

import (
	"crypto/ed25519"
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

const certLifetime = 24 * time.Hour

// Authority is a certificate authority.
type Authority struct {
	cert *x509.Certificate
	key  ed25519.PrivateKey
}

// NewAuthority returns an authority with a new self-signed certificate.
func NewAuthority() (*Authority, error) {
	pub, key, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("authority: %w", err)
	}
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "test authority"},
		NotBefore:             time.Now().Add(-certLifetime),
		NotAfter:              time.Now().Add(certLifetime),
		IsCA:                  true,
		KeyUsage:              x509.KeyUsageCertSign,
		BasicConstraintsValid: true,
	}
	raw, err := x509.CreateCertificate(rand.Reader, template, template, pub, key)
	if err != nil {
		return nil, fmt.Errorf("authority: %w", err)
	}
	cert, err := x509.ParseCertificate(raw)
	if err != nil {
		return nil, fmt.Errorf("authority: %w", err)
	}
	return &Authority{cert: cert, key: key}, nil
}

// Files holds the paths of the PEM files that Authority.Write has written.
type Files struct {
	Cert, Key, CA string
}

// Write creates a key and a certificate for the given DNS names and writes them to dir,
// together with the certificate of the authority.
func (a *Authority) Write(dir string, names ...string) (Files, error) {
	f := Files{
		Cert: filepath.Join(dir, "cert.pem"),
		Key:  filepath.Join(dir, "key.pem"),
		CA:   filepath.Join(dir, "ca.pem"),
	}
	pub, key, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return f, fmt.Errorf("key: %w", err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()),
		DNSNames:     names,
		NotBefore:    time.Now().Add(-certLifetime),
		NotAfter:     time.Now().Add(certLifetime),
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	cert, err := x509.CreateCertificate(rand.Reader, template, a.cert, pub, a.key)
	if err != nil {
		return f, fmt.Errorf("certificate: %w", err)
	}
	encoded, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return f, fmt.Errorf("key: %w", err)
	}
	for _, part := range []struct {
		path, kind string
		raw        []byte
	}{
		{f.Cert, "CERTIFICATE", cert},
		{f.Key, "PRIVATE KEY", encoded},
		{f.CA, "CERTIFICATE", a.cert.Raw},
	} {
		text := pem.EncodeToMemory(&pem.Block{Type: part.kind, Bytes: part.raw})
		if err := os.WriteFile(part.path, text, 0o600); err != nil {
			return f, fmt.Errorf("write keys: %w", err)
		}
	}
	return f, nil
}
