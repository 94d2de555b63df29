package crowds

import (
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/tinylib/msgp/msgp"

	"github.com/heatherrail/heatherrail/peers"
	"github.com/heatherrail/heatherrail/platform"
	"github.com/heatherrail/heatherrail/platform/standin"
)

// announcedFrame is the head of a frame of 8 MB, the most that peers may send, and part of its payload.
func announcedFrame(payload int) []byte {
	return append([]byte{0, 0x80, 0, 0, 1}, make([]byte, payload)...)
}

// startAgent starts the agent of an engine that does not answer. It returns the addresses for its peers and of its metrics.
func startAgent(t *testing.T) (p *process, peersAddr, metricsAddr string) {
	t.Helper()
	g := NewWithT(t)
	ip := nextIP()
	port := freePorts(t, ip, 1)[0]
	peersAddr, metricsAddr = fmt.Sprintf("%s:%d", ip, port), fmt.Sprintf("%s:%d", ip, metricsPort)
	settings := standin.EntrySettings{
		Name: "rank-1", IP: ip, PeerPort: port, Store: serveHTTP(t, standin.NewStore()), Engine: serveHTTP(t, http.NotFoundHandler()),
		Service: "plain", GraceSeconds: 4, DrainSeconds: 2, MemoryMB: lowered.memoryMB, MaxFiles: lowered.files,
	}
	file := filepath.Join(t.TempDir(), "settings.toml")
	g.Expect(os.WriteFile(file, []byte(settings.Text()), 0o600)).To(Succeed())
	p = start(t, lowered, program(t, "heatherrail-rank"), nil, []string{platform.SettingsEnv + "=" + file})
	g.Eventually(getStatus, startTimeout, sampleInterval).WithArguments("http://" + metricsAddr + "/metrics").Should(Equal(http.StatusOK))
	return p, peersAddr, metricsAddr
}

// gatewayAnsweredPeer and agentAnsweredPeer report whether a process responds to a request of a peer on a connection of its own.
func gatewayAnsweredPeer(address string) bool {
	return peerAnswered(address, peers.KindPermit, new(peers.PermitQuery), new(peers.PermitResult))
}

func agentAnsweredPeer(address string) bool {
	return peerAnswered(address, peers.KindLoads, new(peers.LoadsQuery), new(peers.Loads))
}

func peerAnswered(address string, kind peers.Kind, question msgp.Marshaler, answer msgp.Unmarshaler) bool {
	c := peers.NewClient(address)
	defer c.Close()
	return c.Ask(context.Background(), kind, question, answer, answerTimeout) == nil
}

// Frames that are announced and not sent, or not whole, must not use up the memory of a gateway or of an agent; peers are still answered.
func TestUnfinishedFramesOfPeers(t *testing.T) {
	for name, payload := range map[string]int{"announced": 0, "nearly whole": 8<<20 - 1} {
		t.Run("gateway, "+name, func(t *testing.T) {
			d := startGateway(t, options{})
			c := newCrowd(t, d.peers, addresses...)
			c.come(100, func(_ int, cl *client) { cl.send(announcedFrame(payload)) })
			NewWithT(t).Eventually(gatewayAnsweredPeer, patience).WithArguments(d.peers).Should(BeTrue())
			d.expectSurvives(c)
		})
		t.Run("agent, "+name, func(t *testing.T) {
			p, address, metricsAddr := startAgent(t)
			c := newCrowd(t, address, addresses...)
			c.come(100, func(_ int, cl *client) { cl.send(announcedFrame(payload)) })
			g := NewWithT(t)
			g.Eventually(agentAnsweredPeer, patience).WithArguments(address).Should(BeTrue())
			c.leave()
			g.Eventually(agentAnsweredPeer, patience).WithArguments(address).Should(BeTrue())
			g.Eventually(getStatus, patience).WithArguments("http://" + metricsAddr + "/metrics").Should(Equal(http.StatusOK))
			p.expectWithinLimits()
		})
	}
}

// Starts of messages up to an array: of a heartbeat up to its members, and of an order up to its map.
var (
	heartbeatStart = []byte{0x9b, 0x98, 0xa0, 0, 0, 0xa0, 0xa0, 0xa0, 0xc2, 0xc2}
	orderStart     = []byte{0x9c, 1, 0, 0, 0}
)

// arrayFrame returns a frame with a message that announces an array of some elements, of which some follow, each of one byte.
func arrayFrame(kind peers.Kind, start []byte, announced, following int) []byte {
	payload := append(append([]byte{}, start...), 0xdd)
	payload = binary.BigEndian.AppendUint32(payload, uint32(announced))
	payload = append(payload, bytes.Repeat([]byte{0xc0}, following)...)
	return append(append(binary.BigEndian.AppendUint32(nil, uint32(len(payload))), byte(kind)), payload...)
}

// Messages that announce more elements than they hold, or elements that are much larger in memory, must not use up the memory of a gateway or
// of an agent.
func TestAnnouncedElementsOfPeers(t *testing.T) {
	const elements, shortElements = 8 << 20, 50 << 10
	frames := func(kind peers.Kind, start []byte) [][]byte {
		return [][]byte{arrayFrame(kind, start, elements, 0), arrayFrame(kind, start, shortElements, shortElements)}
	}
	t.Run("gateway", func(t *testing.T) {
		d := startGateway(t, options{})
		c := newCrowd(t, d.peers, addresses...)
		f := frames(peers.KindHeartbeat, heartbeatStart)
		c.come(100, func(i int, cl *client) { cl.send(f[i%len(f)]) })
		NewWithT(t).Eventually(gatewayAnsweredPeer, patience).WithArguments(d.peers).Should(BeTrue())
		d.expectSurvives(c)
	})
	t.Run("agent", func(t *testing.T) {
		p, address, _ := startAgent(t)
		c := newCrowd(t, address, addresses...)
		f := frames(peers.KindOrder, orderStart)
		c.come(100, func(i int, cl *client) { cl.send(f[i%len(f)]) })
		NewWithT(t).Eventually(agentAnsweredPeer, patience).WithArguments(address).Should(BeTrue())
		p.expectWithinLimits()
	})
}

// Silent connections, and parts of frames or heads, must not keep the descriptors of an agent.
func TestSilentConnectionsToAgents(t *testing.T) {
	for name, part := range map[string][]byte{"silent": nil, "part": []byte("GET")} {
		t.Run(name, func(t *testing.T) {
			p, address, metricsAddr := startAgent(t)
			g := NewWithT(t)
			var crowds []*crowd
			for _, port := range []string{address, metricsAddr} {
				c := newCrowd(t, port, addresses...)
				c.come(1000, func(_ int, cl *client) { cl.send(part) })
				crowds = append(crowds, c)
			}
			for range 2 {
				g.Eventually(agentAnsweredPeer, patience).WithArguments(address).Should(BeTrue())
				g.Eventually(getStatus, patience).WithArguments("http://" + metricsAddr + "/metrics").Should(Equal(http.StatusOK))
				for _, c := range crowds {
					c.leave()
				}
			}
			p.expectWithinLimits()
		})
	}
}

// messageFrame returns a frame with a message.
func messageFrame(t *testing.T, kind peers.Kind, m msgp.Marshaler) []byte {
	payload, err := m.MarshalMsg(nil)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return append(append(binary.BigEndian.AppendUint32(nil, uint32(len(payload))), byte(kind)), payload...)
}

// deliver sends a frame and waits until it has been handled, or refused.
func (c *client) deliver(frame []byte) {
	c.send(frame)
	_ = c.SetReadDeadline(time.Now().Add(answerTimeout))
	_, _ = c.Read(make([]byte, 1))
}

// What whoever speaks as a peer tells of entries and targets that do not exist must not use up the memory of a gateway.
func TestStatementsOfPeers(t *testing.T) {
	const listed = 20_000
	address := "127.0.0.1:9" // nobody listens
	for name, h := range map[string]func(i int, h *peers.Heartbeat){
		"long names": func(i int, h *peers.Heartbeat) { h.Entry.DataCentre = strings.Repeat("x", 4<<20) },
		"topics":     func(_ int, h *peers.Heartbeat) { h.Topics = make([]peers.TopicState, 2*listed) },
		"members": func(i int, h *peers.Heartbeat) {
			for n := range listed {
				h.Members = append(h.Members, peers.Member{Entry: peers.Presence{Name: fmt.Sprintf("m-%d-%d", i, n), Incarnation: 1, PeerAddr: address}})
			}
		},
		"targets": func(i int, h *peers.Heartbeat) {
			for n := range listed {
				target := fmt.Sprintf("t-%d-%d", i, n)
				h.Leavings = append(h.Leavings, peers.Leaving{Target: target})
				h.Rates = append(h.Rates, peers.Rate{Target: target, PerSecond: 1})
			}
		},
		"trials": func(i int, h *peers.Heartbeat) {
			s := peers.Suspect{Fingerprint: 1, Crashes: []peers.SuspectCrash{{Target: 1}}}
			for n := range listed {
				s.Trials = append(s.Trials, peers.Trial{Entry: fmt.Sprintf("e-%d-%d", i, n), Seq: 1, Target: 1, LeftMS: 60_000})
			}
			h.Suspects = append(h.Suspects, s)
		},
	} {
		t.Run(name, func(t *testing.T) {
			d := startGateway(t, options{})
			c := newCrowd(t, d.peers, addresses...)
			c.come(120, func(i int, cl *client) {
				sent := &peers.Heartbeat{Entry: peers.Presence{Name: fmt.Sprintf("e-%d", i), Incarnation: 1, PeerAddr: address}}
				h(i, sent)
				cl.deliver(messageFrame(t, peers.KindHeartbeat, sent))
			})
			NewWithT(t).Eventually(gatewayAnsweredPeer, patience).WithArguments(d.peers).Should(BeTrue())
			d.expectSurvives(c)
		})
	}
}

// What whoever speaks as an entry reports of itself must not use up the memory of an agent.
func TestReportsOfEntries(t *testing.T) {
	g := NewWithT(t)
	p, address, metricsAddr := startAgent(t)
	c := newCrowd(t, address, addresses...)
	c.come(120, func(i int, cl *client) {
		cl.deliver(messageFrame(t, peers.KindLoads, &peers.LoadsQuery{Entry: strings.Repeat(string(rune('0'+i)), 4<<20)}))
	})
	g.Eventually(agentAnsweredPeer, patience).WithArguments(address).Should(BeTrue())
	g.Eventually(getStatus, patience).WithArguments("http://" + metricsAddr + "/metrics").Should(Equal(http.StatusOK))
	p.expectWithinLimits()
}

// startAnsweringEntries starts a listener that answers each probe, as any number of entries. It returns its address.
func startAnsweringEntries(t *testing.T) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = ln.Close() })
	ack := messageFrame(t, peers.KindHeartbeat, new(peers.Heartbeat))
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer nc.Close()
				var head [5]byte // the length of the payload and the kind
				for {
					if _, err := io.ReadFull(nc, head[:]); err != nil {
						return
					}
					if _, err := io.CopyN(io.Discard, nc, int64(binary.BigEndian.Uint32(head[:]))); err != nil {
						return
					}
					if _, err := nc.Write(ack); err != nil {
						return
					}
				}
			}()
		}
	}()
	return ln.Addr().String()
}

// Entries that do not exist, and that answer, must not make a gateway use up its descriptors for connections to them.
func TestConnectionsToEntriesOfPeers(t *testing.T) {
	const clients, listed = 8, 250
	g := NewWithT(t)
	d := startGateway(t, options{})
	entries := startAnsweringEntries(t)
	var crowd sync.WaitGroup
	var left atomic.Bool
	leave := sync.OnceFunc(func() {
		left.Store(true)
		crowd.Wait()
	})
	defer leave()
	for i := range clients {
		crowd.Go(func() {
			c := peers.NewClient(d.peers)
			defer c.Close()
			name := func(n int) string { return fmt.Sprintf("m-%d-%d", i, n) }
			told := &peers.Heartbeat{Entry: peers.Presence{Name: name(0), Incarnation: 1, PeerAddr: entries}}
			for n := range listed {
				told.Members = append(told.Members, peers.Member{Entry: peers.Presence{Name: name(n), Incarnation: 1, PeerAddr: entries}})
			}
			for !left.Load() {
				_ = c.Ask(context.Background(), peers.KindHeartbeat, told, new(peers.Heartbeat), answerTimeout)
				for n := 0; n < listed && !left.Load(); n++ {
					_ = c.Ask(context.Background(), peers.KindProbe, &peers.ProbeQuery{Name: name(n)}, new(peers.ProbeResult), answerTimeout)
				}
			}
		})
	}
	time.Sleep(4 * time.Second) // connections to entries that are not probed again are closed later
	d.expectService("with the crowd there")
	g.Eventually(gatewayAnsweredPeer, patience).WithArguments(d.peers).Should(BeTrue())
	leave()
	d.expectService("afterwards")
	d.expectWithinLimits()
	text, err := os.ReadFile(d.log)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(text)).NotTo(ContainSubstring("too many open files"))
}
