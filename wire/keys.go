package wire

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"time"

	"github.com/heatherrail/heatherrail/result"
)

// Keys holds the certificate and private key of a process and the certificate
// authorities that it trusts. The files are reloaded when they change, so keys can
// be rotated without a restart. If reloading fails, the previous keys stay in use.
type Keys struct {
	files    [3]string // paths of the certificate, the key and the authorities
	mu       sync.Mutex
	modTimes [3]time.Time
	current  *tls.Config
	loadErr  error
}

// LoadKeys reads three PEM files: certificate chain, private key and authorities.
func LoadKeys(cert, key, ca string) (*Keys, error) {
	k := &Keys{files: [3]string{cert, key, ca}}
	k.refresh()
	if k.current == nil {
		return nil, k.loadErr
	}
	return k, nil
}

// Problem returns why the current files could not be loaded, or nil if they are in
// use.
func (k *Keys) Problem() error {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.loadErr
}

// refresh reloads changed files and returns the newest usable configuration.
func (k *Keys) refresh() *tls.Config {
	k.mu.Lock()
	defer k.mu.Unlock()
	var modTimes [3]time.Time
	for i, name := range k.files {
		info, err := os.Stat(name)
		if err != nil {
			k.loadErr = fmt.Errorf("tls: %w", err)
			return k.current
		}
		modTimes[i] = info.ModTime()
	}
	if k.current != nil && modTimes == k.modTimes {
		return k.current
	}
	loaded, err := readKeys(k.files)
	k.loadErr = err
	if err == nil {
		k.current, k.modTimes = loaded, modTimes
	}
	return k.current
}

func readKeys(files [3]string) (*tls.Config, error) {
	cert, err := tls.LoadX509KeyPair(files[0], files[1])
	if err != nil {
		return nil, fmt.Errorf("tls: %w", err)
	}
	text, err := os.ReadFile(files[2])
	if err != nil {
		return nil, fmt.Errorf("tls: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, fmt.Errorf("tls: %s holds no certificate", files[2])
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{cert},
		RootCAs:      pool,
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		// A resumed session would remain valid after its authority was removed.
		SessionTicketsDisabled: true,
	}, nil
}

func (k *Keys) serverConfig() *tls.Config {
	c := k.refresh().Clone()
	c.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) { return k.refresh(), nil }
	return c
}

// clientConfig verifies the certificate chain of the peer without its host name:
// processes are dialled by IP address, and their certificates name roles.
func (k *Keys) clientConfig() *tls.Config {
	c := k.refresh().Clone()
	c.InsecureSkipVerify = true // VerifyConnection verifies the chain instead
	c.VerifyConnection = func(state tls.ConnectionState) error {
		return verifyChain(state.PeerCertificates, c.RootCAs)
	}
	return c
}

func verifyChain(certs []*x509.Certificate, roots *x509.CertPool) error {
	if len(certs) == 0 {
		return errors.New("the peer presented no certificate")
	}
	opts := x509.VerifyOptions{Roots: roots, Intermediates: x509.NewCertPool()}
	for _, c := range certs[1:] {
		opts.Intermediates.AddCert(c)
	}
	if _, err := certs[0].Verify(opts); err != nil {
		return fmt.Errorf("peer's certificate: %w", err)
	}
	return nil
}

// RoleName returns the DNS name that a certificate must carry to authorise a role.
func RoleName(role string) string { return role + ".heatherrail" }

// checkRole verifies that the certificate of the peer authorises the role in its
// hello. Without this check, the holder of the key of any target VM could act as an
// entry towards all other targets.
func checkRole(nc net.Conn, role string) error {
	tc, ok := nc.(*tls.Conn)
	if !ok {
		return nil // plain TCP, allowed on loopback only
	}
	certs := tc.ConnectionState().PeerCertificates
	if len(certs) == 0 {
		return result.New(result.WireRole, "peer presented no certificate")
	}
	if err := certs[0].VerifyHostname(RoleName(role)); err != nil {
		return result.New(result.WireRole, "role %q: %w", role, err)
	}
	return nil
}
