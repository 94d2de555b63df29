package outside_test

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/heatherrail/heatherrail/internal/fake"
	"github.com/heatherrail/heatherrail/outside"
)

// countingProxy forwards connections one at a time and counts the response bytes.
func countingProxy(t *testing.T, to string) (string, *atomic.Int64) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	count := new(atomic.Int64)
	go func() {
		for {
			in, err := ln.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", to)
			if err != nil {
				_ = in.Close()
				continue
			}
			go forward(out, in, nil)
			forward(in, out, count)
		}
	}()
	return ln.Addr().String(), count
}

func forward(dst, src net.Conn, count *atomic.Int64) {
	defer func() { _ = dst.Close(); _ = src.Close() }()
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		if count != nil {
			count.Add(int64(n))
		}
		if _, werr := dst.Write(buf[:n]); err != nil || werr != nil {
			return
		}
	}
}

// Entries request the list twice a second; at the planned size, whole lists take a hundred times the
// control traffic budget. An unchanged list must cost few bytes, and a change must be received at once.
func TestUnchangedVMListIsNotResent(t *testing.T) {
	g := NewWithT(t)
	vms := fake.NewVMList(0)
	for i := range 1510 {
		vms.Put(outside.VM{ID: fmt.Sprint("vm-", i), Name: fmt.Sprint("drafter-", i), Role: outside.RoleTarget,
			Address: "10.0.0.1:7000", DataCentre: "hall-a", State: outside.StateLive})
	}
	srv, err := fake.Serve(fake.PlatformHandler(fake.NewLog(), vms))
	g.Expect(err).NotTo(HaveOccurred())
	defer srv.Close()
	addr, count := countingProxy(t, srv.Addr)
	list := &outside.HTTPVMList{Addr: addr}
	read := func() (int, int64) {
		before := count.Load()
		got, err := list.List(context.Background())
		g.Expect(err).NotTo(HaveOccurred())
		return len(got), count.Load() - before
	}
	n, full := read()
	g.Expect(n).To(Equal(1510))
	n, unchanged := read()
	g.Expect(n).To(Equal(1510))
	g.Expect(unchanged).To(BeNumerically("<", 512))
	vms.Remove("vm-7")
	n, changed := read()
	g.Expect(n).To(Equal(1509))
	g.Expect(changed).To(BeNumerically(">", full/2))
	t.Logf("bytes: whole list %d, unchanged %d", full, unchanged)
}
