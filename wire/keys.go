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

// Keys are a process's certificate and key and the authorities that it accepts.
// They are read again when a file changes, so that they can be rotated without
// a restart; a set that can't be read leaves the earlier one in use.
type Keys struct {
	files   [3]string // certificate, key, authorities
	mu      sync.Mutex
	stamp   [3]time.Time
	loaded  *tls.Config
	problem error
}

// LoadKeys reads PEM files: certificate chain, private key, authorities.
func LoadKeys(cert, key, ca string) (*Keys, error) {
	k := &Keys{files: [3]string{cert, key, ca}}
	k.refresh()
	if k.loaded == nil {
		return nil, k.problem
	}
	return k, nil
}

// Problem returns why the newest files could not be read, nil if they are in use.
func (k *Keys) Problem() error {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.problem
}

// refresh returns the newest usable configuration.
func (k *Keys) refresh() *tls.Config {
	k.mu.Lock()
	defer k.mu.Unlock()
	var stamp [3]time.Time
	for i, name := range k.files {
		info, err := os.Stat(name)
		if err != nil {
			k.problem = fmt.Errorf("tls: %w", err)
			return k.loaded
		}
		stamp[i] = info.ModTime()
	}
	if k.loaded != nil && stamp == k.stamp {
		return k.loaded
	}
	loaded, err := readKeys(k.files)
	k.problem = err
	if err == nil {
		k.loaded, k.stamp = loaded, stamp
	}
	return k.loaded
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
		// A resumed session would go on under an authority that was withdrawn.
		SessionTicketsDisabled: true,
	}, nil
}

func (k *Keys) serverConfig() *tls.Config {
	c := k.refresh().Clone()
	c.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) { return k.refresh(), nil }
	return c
}

// clientConfig verifies the peer's chain by itself: processes are dialled by IP
// number, and their certificates name roles, not addresses.
func (k *Keys) clientConfig() *tls.Config {
	c := k.refresh().Clone()
	c.InsecureSkipVerify = true // replaced by VerifyConnection
	c.VerifyConnection = func(state tls.ConnectionState) error {
		return verifyChain(state.PeerCertificates, c.RootCAs)
	}
	return c
}

func verifyChain(certs []*x509.Certificate, roots *x509.CertPool) error {
	if len(certs) == 0 {
		return errors.New("the peer shows no certificate")
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

// RoleName is the DNS name that a certificate must carry for its holder to act
// in a role.
func RoleName(role string) string { return role + ".heatherrail" }

// checkRole compares the role that a peer claims with its certificate. Without
// it the key of any target VM would open the whole system: its holder could act
// as an entry towards all other targets.
func checkRole(nc net.Conn, role string) error {
	tc, ok := nc.(*tls.Conn)
	if !ok {
		return nil // plain, so on loopback
	}
	certs := tc.ConnectionState().PeerCertificates
	if len(certs) == 0 {
		return result.New(result.WireRole, "no certificate")
	}
	if err := certs[0].VerifyHostname(RoleName(role)); err != nil {
		return result.New(result.WireRole, "role %q: %w", role, err)
	}
	return nil
}
