package gateway

import (
	"fmt"
	"slices"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/heatherrail/heatherrail/peers"
)

// Guards against answers of the directory that name more entries than callers read, and against
// callers that leave most of their entries when one of many goes.
func TestTheDirectoryNamesTheSameFewOfManyEntries(t *testing.T) {
	for _, size := range []int{8, 46, 410, 1000} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			g := NewWithT(t)
			const most = 64
			one, two := idleGateway("entry-x"), idleGateway("entry-y")
			for _, gw := range []*Gateway{one, two} {
				gw.opts.MaxDirectoryAddresses = most
				for n := range size {
					p := peers.Presence{Name: fmt.Sprintf("entry-%03d", n), Incarnation: 1, DataCentre: "a", Ready: true, CallerAddr: fmt.Sprintf("10.0.%d.%d:80", n/200, n%200)}
					gw.cluster.membership.MergeHeartbeat(&peers.Heartbeat{Entry: p})
				}
			}
			named := one.Entries("a").Addresses
			g.Expect(named).To(HaveLen(min(size, most)))
			g.Expect(two.Entries("a").Addresses).To(ConsistOf(named))
			two.cluster.membership.MergeHeartbeat(&peers.Heartbeat{Entry: peers.Presence{Name: "entry-000", Incarnation: 2, DataCentre: "a", CallerAddr: "10.0.0.0:80"}})
			others := slices.DeleteFunc(two.Entries("a").Addresses, func(a string) bool { return slices.Contains(named, a) })
			g.Expect(len(others)).To(BeNumerically("<=", 1))
		})
	}
}
