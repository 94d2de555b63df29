package settings_test

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/heatherrail/heatherrail/internal/testkeys"
	"github.com/heatherrail/heatherrail/settings"
)

const platform = "[platform]\nlog = 127.0.0.1:1\nvms = 127.0.0.1:2\n"

func write(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "agent.ini")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func agent(listen, rest string) string {
	return "[agent]\ntarget = t\ndata-centre = a\nlisten = " + listen + "\nbackend = 127.0.0.1:3\nkind = engine\n" + platform + rest
}

// Settings have a listen address other than loopback without TLS keys, unusable keys or invalid
// sections. Loading them must fail with an error that names the fault.
func TestLoadRejectsUnsafeAddressesAndBadKeys(t *testing.T) {
	g := NewWithT(t)
	a, err := testkeys.NewAuthority()
	g.Expect(err).NotTo(HaveOccurred())
	f, err := a.Write(t.TempDir(), "agent.heatherrail")
	g.Expect(err).NotTo(HaveOccurred())
	keys := fmt.Sprintf("[tls]\ncert = %s\nkey = %s\nca = %s\n", f.Cert, f.Key, f.CA)
	cases := []struct{ name, text, want string }{
		{"loopback without keys", agent("127.0.0.1:0", ""), ""},
		{"off loopback with keys", agent("10.0.0.1:7000", keys), ""},
		{"off loopback without keys", agent("10.0.0.1:7000", ""), ":4: agent.listen: 10.0.0.1:7000 is not on loopback and there are no keys, see [tls]"},
		{"some of the keys", agent("127.0.0.1:0", "[tls]\nkey = k\n"), "cert, key and ca belong together"},
		{"unreadable keys", agent("127.0.0.1:0", "[tls]\ncert = none\nkey = none\nca = none\n"), "tls.cert: tls: stat none"},
		{"CA file without a certificate", agent("127.0.0.1:0", fmt.Sprintf("[tls]\ncert = %s\nkey = %s\nca = %s\n", f.Cert, f.Key, f.Key)), "holds no certificate"},
		{"unknown section", agent("127.0.0.1:0", "[entry]\n"), "unknown section [entry], allowed: [agent] [platform] [tls]"},
		{"duplicate section", agent("127.0.0.1:0", platform), "section [platform] is given twice"},
		{"missing section", "[agent]\n", ":1: platform.log: missing"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			file, err := settings.LoadAgent(write(t, tc.text))
			if tc.want != "" {
				g.Expect(err).To(MatchError(ContainSubstring(tc.want)))
				return
			}
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(file.Network).NotTo(BeNil())
			g.Expect(file.Agent.Queue).To(Equal(64))
		})
	}
}
