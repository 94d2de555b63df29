package wire_test

import (
	"context"
	"net"
	"os"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/heatherrail/heatherrail/internal/testkeys"
	"github.com/heatherrail/heatherrail/result"
	"github.com/heatherrail/heatherrail/wire"
)

func keys(t *testing.T, a *testkeys.Authority, roles ...string) (*wire.Keys, testkeys.Files) {
	t.Helper()
	var names []string
	for _, role := range roles {
		names = append(names, wire.RoleName(role))
	}
	f, err := a.Write(t.TempDir(), names...)
	if err != nil {
		t.Fatal(err)
	}
	k, err := wire.LoadKeys(f.Cert, f.Key, f.CA)
	if err != nil {
		t.Fatal(err)
	}
	return k, f
}

func authority(t *testing.T) *testkeys.Authority {
	t.Helper()
	a, err := testkeys.NewAuthority()
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// listen runs an acceptor and returns its address and the errors of refused
// connections.
func listen(t *testing.T, n *wire.Network, a wire.Acceptor) (string, <-chan error) {
	t.Helper()
	ln, err := n.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	refused := make(chan error, 64)
	a.Listener = ln
	a.Handler = serverFunc(nil)
	a.Refused = func(_ net.Addr, err error) { refused <- err }
	done := make(chan struct{})
	go func() { defer close(done); a.Run() }()
	t.Cleanup(func() { _ = ln.Close(); <-done })
	return ln.Addr().String(), refused
}

func dial(t *testing.T, n *wire.Network, addr, role string) (*wire.Conn, error) {
	t.Helper()
	nc, err := n.Dial(context.Background(), addr)
	if err != nil {
		return nil, err
	}
	c, err := wire.Client(nc, wire.Hello{Name: "client", Role: role}, serverFunc(nil), wire.Options{})
	if err == nil {
		t.Cleanup(c.Close)
	}
	return c, err
}

func TestPlainTCPIsRefusedForNonLoopbackAddresses(t *testing.T) {
	g := NewWithT(t)
	plain := new(wire.Network)
	_, err := plain.Listen("0.0.0.0:0")
	g.Expect(result.From(err).Code).To(Equal(result.WirePlain))
	_, err = plain.Dial(context.Background(), "192.0.2.1:7000")
	g.Expect(result.From(err).Code).To(Equal(result.WirePlain))
	g.Expect(plain.Check("[::ffff:127.0.0.1]:7000")).To(Succeed())
	g.Expect((&wire.Network{Keys: new(wire.Keys)}).Check("192.0.2.1:7000")).To(Succeed())
}

// A leaked key of a target VM must not let its holder act as an entry towards other
// targets: the certificate must come from the authority and authorise the role.
func TestMutualTLSChecksAuthorityAndRole(t *testing.T) {
	ownCA, foreignCA := authority(t), authority(t)
	agentKeys, _ := keys(t, ownCA, wire.RoleAgent)
	entryKeys, _ := keys(t, ownCA, wire.RoleEntry)
	foreignKeys, _ := keys(t, foreignCA, wire.RoleEntry)
	accepted := make(chan struct{}, 1)
	addr, refused := listen(t, &wire.Network{Keys: agentKeys}, wire.Acceptor{
		Hello: wire.Hello{Name: "t", Role: wire.RoleAgent},
		Serve: func(*wire.Conn) { accepted <- struct{}{} },
	})

	t.Run("valid certificate and role", func(t *testing.T) {
		g := NewWithT(t)
		c, err := dial(t, &wire.Network{Keys: entryKeys}, addr, wire.RoleEntry)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(c.Peer().Name).To(Equal("t"))
		<-accepted // otherwise the next case could receive an error of this connection
	})
	t.Run("role not in the certificate", func(t *testing.T) {
		g := NewWithT(t)
		_, _ = dial(t, &wire.Network{Keys: agentKeys}, addr, wire.RoleEntry)
		g.Expect(result.From(<-refused).Code).To(Equal(result.WireRole))
	})
	t.Run("foreign authority", func(t *testing.T) {
		g := NewWithT(t)
		_, err := dial(t, &wire.Network{Keys: foreignKeys}, addr, wire.RoleEntry)
		g.Expect(err).To(MatchError(ContainSubstring("unknown authority")))
		<-refused
	})
	t.Run("no certificate", func(t *testing.T) {
		g := NewWithT(t)
		_, err := dial(t, new(wire.Network), addr, wire.RoleEntry)
		g.Expect(err).To(HaveOccurred())
		<-refused
	})
}

// The operator rotates keys without a restart, first with an invalid file, then with a
// valid set. The invalid file must not replace the keys in use.
func TestChangedKeyFilesAreReloaded(t *testing.T) {
	g := NewWithT(t)
	oldCA, newCA := authority(t), authority(t)
	serverKeys, files := keys(t, oldCA, wire.RoleAgent)
	addr, refused := listen(t, &wire.Network{Keys: serverKeys}, wire.Acceptor{Hello: wire.Hello{Role: wire.RoleAgent}})
	oldEntryKeys, _ := keys(t, oldCA, wire.RoleEntry)
	newEntryKeys, _ := keys(t, newCA, wire.RoleEntry)

	later := time.Now().Add(time.Minute)
	g.Expect(os.WriteFile(files.Cert, []byte("broken"), 0o600)).To(Succeed())
	g.Expect(os.Chtimes(files.Cert, later, later)).To(Succeed())
	_, err := dial(t, &wire.Network{Keys: oldEntryKeys}, addr, wire.RoleEntry)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(serverKeys.Problem()).To(HaveOccurred())

	dir := files.Cert[:len(files.Cert)-len("/cert.pem")]
	_, err = newCA.Write(dir, wire.RoleName(wire.RoleAgent))
	g.Expect(err).NotTo(HaveOccurred())
	_, err = dial(t, &wire.Network{Keys: newEntryKeys}, addr, wire.RoleEntry)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(serverKeys.Problem()).NotTo(HaveOccurred())
	_, err = dial(t, &wire.Network{Keys: oldEntryKeys}, addr, wire.RoleEntry)
	g.Expect(err).To(HaveOccurred())
	<-refused
}

// Clients connect and never send a hello. They may use only the pending slots until
// HelloTimeout, and must not disturb connected peers.
func TestConnectionsWithoutHelloAreLimited(t *testing.T) {
	g := NewWithT(t)
	n := new(wire.Network)
	served := make(chan struct{}, 2)
	addr, refused := listen(t, n, wire.Acceptor{
		Hello:      wire.Hello{Role: wire.RoleAgent},
		MaxPending: 2,
		Options:    wire.Options{HelloTimeout: 200 * time.Millisecond},
		Serve:      func(*wire.Conn) { served <- struct{}{} },
	})
	connected, err := dial(t, n, addr, wire.RoleEntry)
	g.Expect(err).NotTo(HaveOccurred())
	<-served // its hello exchange is over for the acceptor too
	for range 8 {
		nc, err := net.Dial("tcp", addr)
		g.Expect(err).NotTo(HaveOccurred())
		defer func() { _ = nc.Close() }()
	}
	overLimit := 0
	for range 8 {
		if result.From(<-refused).Code == result.ConnsFull {
			overLimit++
		}
	}
	g.Expect(overLimit).To(BeNumerically(">=", 1))
	g.Expect(connected.SendNote(wire.NoteLoad, &wire.Load{})).To(Succeed())
	_, err = dial(t, n, addr, wire.RoleEntry)
	g.Expect(err).NotTo(HaveOccurred())
}
