package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/heatherrail/heatherrail/internal/tcp"
	"github.com/heatherrail/heatherrail/serving"
)

// benchTarget answers each request of one connection after the other with a short body.
func benchTarget(b *testing.B) string {
	b.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer nc.Close()
				br := bufio.NewReader(nc)
				for {
					r, err := http.ReadRequest(br)
					if err != nil {
						return
					}
					if _, err := io.Copy(io.Discard, r.Body); err != nil {
						return
					}
					reply(nc, r, 200, sealHeader, strings.Repeat("x", 800))
				}
			}()
		}
	}()
	return ln.Addr().String()
}

// BenchmarkRequest sends requests with bodies of some sizes on one connection, through the whole gateway.
func BenchmarkRequest(b *testing.B) {
	store := new(memStore)
	store.put(serving.TopicConfig, "config", testConfig())
	store.put(serving.TopicTargets, "i1", serving.Target{Service: "plain", Address: benchTarget(b), DataCentre: "a"})
	var listeners []net.Listener
	for range 2 {
		ln, err := tcp.Listen("127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		listeners = append(listeners, ln)
	}
	o := testOptions("gw", store)
	o.CallerAddr, o.PeerAddr = listeners[0].Addr().String(), listeners[1].Addr().String()
	gw := Start(o, listeners[0], listeners[1])
	b.Cleanup(gw.Abort)
	for snap := gw.state.snapshot(); snap == nil || len(snap.targets["plain"]) == 0; snap = gw.state.snapshot() {
		time.Sleep(time.Millisecond)
	}
	for _, size := range []int{0, 2 << 10, 100 << 10, 4 << 20} {
		b.Run(fmt.Sprintf("%d bytes", size), func(b *testing.B) {
			nc, err := net.Dial("tcp", o.CallerAddr)
			if err != nil {
				b.Fatal(err)
			}
			defer nc.Close()
			br := bufio.NewReader(nc)
			body := strings.Repeat("x", size)
			text := fmt.Sprintf("POST /idem/x HTTP/1.1\r\nHost: h\r\nRid: r1\r\nKey: k1\r\nLeft: 4000\r\nUser-Agent: bench\r\nAccept: */*\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", size, body)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := io.WriteString(nc, text); err != nil {
					b.Fatal(err)
				}
				resp, err := http.ReadResponse(br, nil)
				if err != nil || resp.StatusCode != 200 {
					b.Fatal(resp, err)
				}
				if _, err := io.Copy(io.Discard, resp.Body); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
