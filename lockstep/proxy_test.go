package lockstep

import (
	"testing"
	"testing/synctest"

	. "github.com/onsi/gomega"

	"github.com/heatherrail/heatherrail/peers"
)

// A late order of an earlier switch must not erase what the proxy has recorded or abandoned since, and a
// proxy that has restarted must decide nothing.
func TestProxyDecidesOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFleet(newSimGroup(4, 1, 8, 1))
		proxy := f.agents[proxyRank(4)]
		leaderEngine := f.group.ranks[0]
		arm := func(version, step uint64) *peers.RankOrder {
			return &peers.RankOrder{Kind: peers.OrderArm, Epoch: 1, Version: version, Step: step, Engine: engineAddress(0), Recovery: true}
		}
		abandon := func(version, step uint64) *peers.RankOrder {
			return &peers.RankOrder{Kind: peers.OrderAbandon, Epoch: 1, Version: version, Step: step}
		}
		isAccepted := func(o *peers.RankOrder) bool {
			result, err := proxy.order(o)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(result.Accepted).NotTo(Equal(result.Refused))
			return result.Accepted
		}
		witness := func(version uint64) {
			proxy.mapHistory.put(1, mapEntry{version: version, witnessed: true})
			leaderEngine.prepared, leaderEngine.highest, leaderEngine.armed = version, version, 0
		}
		leaderEngine.prepared, leaderEngine.highest = 3, 3
		g.Expect(isAccepted(arm(3, 4))).To(BeFalse(), "not seen before it was prepared")
		g.Expect(isAccepted(abandon(3, 4))).To(BeFalse())

		witness(5)
		g.Expect(isAccepted(abandon(5, 6))).To(BeTrue())
		g.Expect(isAccepted(arm(5, 6))).To(BeFalse(), "abandoned")
		g.Expect(leaderEngine.armed).To(BeZero())

		witness(7)
		g.Expect(isAccepted(arm(7, 8))).To(BeTrue())
		g.Expect(isAccepted(abandon(7, 8))).To(BeFalse(), "recorded")
		g.Expect(isAccepted(arm(5, 6))).To(BeFalse(), "late")
		g.Expect(isAccepted(abandon(5, 6))).To(BeFalse())
		g.Expect(proxy.recordedArm()).To(Equal(peers.ProxyArm{Epoch: 1, Step: 8, Accepted: true}))

		witness(9)
		g.Expect(isAccepted(abandon(9, 10))).To(BeTrue())
		g.Expect(isAccepted(abandon(7, 8))).To(BeFalse(), "late")
		g.Expect(isAccepted(arm(9, 10))).To(BeFalse(), "still abandoned")
	})
}
