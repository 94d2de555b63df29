package gateway

import (
	"fmt"
	"slices"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/heatherrail/heatherrail/peers"
)

// Guards against directory answers with more addresses than callers read, and against answers
// that differ between entries or change in many addresses when one entry leaves.
func TestDirectoryAnswersAreLimitedAndConsistent(t *testing.T) {
	for _, size := range []int{8, 46, 410, 1000} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			g := NewWithT(t)
			const maxAddresses = 64
			one, two := idleGateway("entry-x"), idleGateway("entry-y")
			for _, gw := range []*Gateway{one, two} {
				gw.opts.MaxDirectoryAddresses = maxAddresses
				for n := range size {
					p := peers.Presence{Name: fmt.Sprintf("entry-%03d", n), Incarnation: 1, DataCentre: "a", Ready: true, CallerAddr: fmt.Sprintf("10.0.%d.%d:80", n/200, n%200)}
					gw.cluster.membership.MergeHeartbeat(&peers.Heartbeat{Entry: p})
				}
			}
			addresses := one.Entries("a").Addresses
			g.Expect(addresses).To(HaveLen(min(size, maxAddresses)))
			g.Expect(two.Entries("a").Addresses).To(ConsistOf(addresses))
			two.cluster.membership.MergeHeartbeat(&peers.Heartbeat{Entry: peers.Presence{Name: "entry-000", Incarnation: 2, DataCentre: "a", CallerAddr: "10.0.0.0:80"}})
			newAddresses := slices.DeleteFunc(two.Entries("a").Addresses, func(a string) bool { return slices.Contains(addresses, a) })
			g.Expect(len(newAddresses)).To(BeNumerically("<=", 1))
		})
	}
}
