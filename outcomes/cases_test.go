package outcomes

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"github.com/heatherrail/heatherrail/internal/fake"
	"github.com/heatherrail/heatherrail/internal/safeguard"
	"github.com/heatherrail/heatherrail/outside"
	"github.com/heatherrail/heatherrail/result"
	"github.com/heatherrail/heatherrail/route"
	"github.com/heatherrail/heatherrail/wire"
)

// inWorld runs f in virtual time with two entries, and checks the history after.
func inWorld(t *testing.T, off safeguard.Off, f func(g *WithT, w *World)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w, err := NewWorld(Options{Engines: 2, PlainTargets: 3, Entries: 2, Latency: time.Millisecond, Off: off, Logger: logr.Discard()})
		g.Expect(err).NotTo(HaveOccurred())
		f(g, w)
		w.Close()
		time.Sleep(time.Minute)
		if off == (safeguard.Off{}) {
			g.Expect(Check(w.History)).To(BeEmpty())
		}
	})
}

// homeOf returns where a key of team-0 runs.
func homeOf(w *World, key string, spare bool) string {
	names := []string{"oven-api-1", "oven-api-2", "oven-api-3"}
	if spare {
		names = append(names, "oven-api-4")
	}
	return names[route.HomeIndex(route.DedupKey("team-0", ServicePlain, key), names)]
}

// keyAt returns a key whose home is a target now, and elsewhere if moves.
func keyAt(w *World, target string, moves bool) string {
	for n := 'a'; ; n++ {
		key := "key-" + string(n)
		if homeOf(w, key, false) == target && (homeOf(w, key, true) != target) == moves {
			return key
		}
	}
}

func ranOf(w *World, key string) int {
	n := 0
	for _, e := range w.History.Executions {
		if e.Key == key {
			n++
		}
	}
	return n
}

// A key runs once although its caller sends it through two entries at once.
// Both entries choose the same home; the second request joins the first one's
// run, and both callers get its answer.
func TestTheSameKeyThroughTwoEntriesAtOnce(t *testing.T) {
	inWorld(t, safeguard.Off{}, func(g *WithT, w *World) {
		codes := make(chan result.Code, 2)
		for at := range 2 {
			go func() { codes <- w.send("team-0", at, plainJob("k"), 0).Code }()
		}
		g.Expect([]result.Code{<-codes, <-codes}).To(HaveEach(result.OK))
		g.Expect(ranOf(w, "k")).To(Equal(1))
	})
}

// A repeat gets the finished answer, and another body is refused.
// The caller lost the first answer and asks again; a broken key generator uses
// the key for something else.
func TestARepeatGetsTheFinishedAnswer(t *testing.T) {
	inWorld(t, safeguard.Off{}, func(g *WithT, w *World) {
		first := w.send("team-0", 0, plainJob("k"), 0)
		again := w.send("team-0", 1, plainJob("k"), 1)
		g.Expect(again.Code).To(Equal(result.OK))
		g.Expect(again.Answer).To(Equal(first.Answer))
		other := plainJob("k")
		other.body = "something else"
		g.Expect(w.send("team-0", 0, other, 0).Code).To(Equal(result.KeyReused))
	})
}

// An entry dies after dispatch, and the caller repeats through another one.
// The run goes on at the home; the repeat joins it and gets the whole answer.
func TestTheEntryDiesAfterDispatch(t *testing.T) {
	inWorld(t, safeguard.Off{}, func(g *WithT, w *World) {
		lost := make(chan *Invocation)
		go func() { lost <- w.send("team-0", 0, plainJob("k"), 0) }()
		time.Sleep(10 * time.Millisecond)
		w.entry(0).Close()
		first := <-lost
		g.Expect(first.Code.Info().Run).To(Equal(result.RunMaybe), first.Detail)
		g.Expect(w.send("team-0", 1, plainJob("k"), 1).Code).To(Equal(result.OK))
		g.Expect(ranOf(w, "k")).To(Equal(1))
	})
}

// An agent forgets at its restart, and its keys stay safe.
// A request ran; the agent restarts with an empty memory; the caller repeats. The
// entry that dispatched the key says so: "may have run". Other keys run at once.
func TestTheAgentRestartsWithAnEmptyMemory(t *testing.T) {
	for _, moved := range []bool{false, true} { // the same VM, or another one
		inWorld(t, safeguard.Off{}, func(g *WithT, w *World) {
			home := homeOf(w, "k", false)
			g.Expect(w.send("team-0", 0, plainJob("k"), 0).Code).To(Equal(result.OK))
			w.replaceAgent(home, time.Second, moved)
			time.Sleep(time.Second)
			g.Expect(w.send("team-0", 1, plainJob("k"), 1).Code).To(Equal(result.KeyInDoubt))
			fresh := keyAt(w, home, false) + "2"
			g.Expect(w.send("team-0", 1, plainJob(fresh), 0).Code).To(Equal(result.OK))
		})
	}
}

// A frame from before a restart arrives after it, and does not run.
// It was delayed on its way; its sender has given it up. It names the earlier
// incarnation of the agent.
func TestAFrameFromBeforeTheRestart(t *testing.T) {
	inWorld(t, safeguard.Off{}, func(g *WithT, w *World) {
		g.Expect(result.From(lateFrame(g, w)).Code).To(Equal(result.StaleAgent))
		g.Expect(ranOf(w, "late")).To(BeZero())
	})
}

// lateFrame sends a request that was meant for an earlier incarnation.
func lateFrame(g *WithT, w *World) error {
	nc, err := w.net.dialer("tool")(context.Background(), "oven-api-1/0")
	g.Expect(err).NotTo(HaveOccurred())
	c, err := wire.Client(nc, wire.Hello{Name: "tool", Role: wire.RoleEntry, Incarnation: 1000}, deaf{}, wire.Options{})
	g.Expect(err).NotTo(HaveOccurred())
	defer c.Close()
	req := &wire.Request{ID: "late", Team: "team-0", Service: ServicePlain, Key: "late", Method: "POST",
		DeadlineMs: 1000, DedupMs: 1000, ConfigVersion: 1, AgentInc: 999}
	s, err := c.Open(wire.MethodRequest, req)
	g.Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_, err = s.Recv(ctx)
	return err
}

// deaf ignores what an agent sends by itself.
type deaf struct{}

func (deaf) ServeStream(context.Context, *wire.Stream, wire.Method, []byte) {}
func (deaf) ServeNote(*wire.Conn, wire.Note, []byte)                        {}

// The log is down, and running processes go on as before.
// Only what starts meanwhile is held up: an agent answers "may have run" for
// keys that it does not know, an entry refuses, as nobody could know of it.
func TestTheLogIsDown(t *testing.T) {
	inWorld(t, safeguard.Off{}, func(g *WithT, w *World) {
		w.Log.SetFaults(fake.LogFaults{Down: true})
		g.Expect(w.send("team-0", 0, plainJob("k"), 0).Code).To(Equal(result.OK))
		w.replaceAgent(homeOf(w, "n", false), time.Second, false)
		time.Sleep(time.Second)
		g.Expect(w.send("team-0", 0, plainJob("n"), 0).Code).To(Equal(result.KeyInDoubt))
		w.Log.SetFaults(fake.LogFaults{})
		time.Sleep(time.Second)
		again := w.send("team-0", 0, plainJob("n"), 1)
		g.Expect(again.Code).To(Equal(result.OK), again.Detail)
	})
}

// An answer of the log is lost while an entry registers; it registers again.
func TestTheLogsAnswerIsLost(t *testing.T) {
	inWorld(t, safeguard.Off{}, func(g *WithT, w *World) {
		w.entry(0).Close()
		w.Log.SetFaults(fake.LogFaults{LoseAnswers: 1})
		g.Expect(w.startEntry(0)).To(Succeed())
		time.Sleep(100 * time.Millisecond)
		g.Expect(w.send("team-0", 0, plainJob("k"), 0).Code).To(Equal(result.EntryUnregistered))
		time.Sleep(time.Second)
		g.Expect(w.send("team-0", 0, plainJob("k"), 1).Code).To(Equal(result.OK))
	})
}

// The configuration moves a key's home between two tries.
// The new home has never heard of the key; the entry that dispatched it says so
// when it installs the version. A key that nobody used runs at its new home.
func TestTheTargetsChangeBetweenTwoTries(t *testing.T) {
	inWorld(t, safeguard.Off{}, func(g *WithT, w *World) {
		key := keyAt(w, "oven-api-2", true)
		g.Expect(w.send("team-0", 0, plainJob(key), 0).Code).To(Equal(result.OK))
		g.Expect(w.apply(true)).To(Succeed())
		time.Sleep(time.Second)
		g.Expect(w.send("team-0", 1, plainJob(key), 1).Code).To(Equal(result.KeyInDoubt))
		unused := "x" + key
		for homeOf(w, unused, true) != "oven-api-4" {
			unused = "x" + unused
		}
		g.Expect(w.send("team-0", 1, plainJob(unused), 0).Code).To(Equal(result.OK))
	})
}

// A paused entry works under an old version while the others have moved on.
// Its key must not run at the old home once it could run at the new one.
func TestAnEntryThatMissedTheChange(t *testing.T) {
	inWorld(t, safeguard.Off{}, func(g *WithT, w *World) {
		key := keyAt(w, "oven-api-2", true)
		w.net.freeze("entry-1")
		time.Sleep(time.Second)
		g.Expect(w.apply(true)).To(Succeed())
		time.Sleep(10 * time.Millisecond)
		late := make(chan *Invocation)
		go func() { late <- w.send("team-0", 0, plainJob(key), 0) }()
		g.Expect(w.send("team-0", 1, plainJob(key), 0).Code).To(Equal(result.KeyInDoubt))
		w.net.thaw("entry-1")
		<-late
		g.Expect(ranOf(w, key)).To(BeNumerically("<=", 1))
	})
}

// A target dies for good, and its keys get a new home by a configuration.
// What it ran is in doubt at the new home; the rest runs.
func TestTheTargetDiesAndItsKeysMove(t *testing.T) {
	inWorld(t, safeguard.Off{}, func(g *WithT, w *World) {
		g.Expect(w.apply(true)).To(Succeed())
		time.Sleep(time.Second)
		key := "k"
		for homeOf(w, key, true) != "oven-api-4" {
			key += "k"
		}
		g.Expect(w.send("team-0", 0, plainJob(key), 0).Code).To(Equal(result.OK))
		w.agentOf("oven-api-4").Close()
		time.Sleep(time.Second)
		unused := key + "k"
		for homeOf(w, unused, true) != "oven-api-4" {
			unused += "k"
		}
		g.Expect(w.send("team-0", 0, plainJob(unused), 0).Code.Info().Run).To(Equal(result.RunNot))
		g.Expect(w.apply(false)).To(Succeed())
		time.Sleep(time.Second)
		g.Expect(w.send("team-0", 1, plainJob(key), 1).Code).To(Equal(result.KeyInDoubt))
		g.Expect(w.send("team-0", 1, plainJob(unused), 1).Code).To(Equal(result.OK))
	})
}

// An entry and an agent die within one window, and nobody can vouch.
// The entry that dispatched the key is gone, so every unknown key of the new
// agent is in doubt; an entry that left in order has left its book instead.
func TestTheEntryAndTheAgentDie(t *testing.T) {
	for _, orderly := range []bool{false, true} {
		inWorld(t, safeguard.Off{}, func(g *WithT, w *World) {
			home := homeOf(w, "k", false)
			g.Expect(w.send("team-0", 0, plainJob("k"), 0).Code).To(Equal(result.OK))
			if orderly {
				w.drainEntry(0)
			} else {
				w.entry(0).Close()
			}
			w.replaceAgent(home, time.Second, false)
			time.Sleep(time.Second)
			g.Expect(w.send("team-0", 1, plainJob("k"), 1).Code).To(Equal(result.KeyInDoubt))
			unused := "n" + keyAt(w, home, false)
			for homeOf(w, unused, false) != home {
				unused = "n" + unused
			}
			want := result.KeyInDoubt
			if orderly {
				want = result.OK
			}
			g.Expect(w.send("team-0", 1, plainJob(unused), 0).Code).To(Equal(want))
		})
	}
}

// At the bound a new key is refused, and no older one is forgotten.
func TestTheMemoryIsFull(t *testing.T) {
	inWorld(t, safeguard.Off{}, func(g *WithT, w *World) {
		snap := *w.entry(0).Current()
		w.entry(0).Current().Config.Policies[0].DedupKeys = 1
		defer func() { snap.Config.Policies[0].DedupKeys = 1 << 16 }()
		first := keyAt(w, "oven-api-1", false)
		second := "m" + first
		for homeOf(w, second, false) != "oven-api-1" {
			second = "m" + second
		}
		g.Expect(w.send("team-0", 0, plainJob(first), 0).Code).To(Equal(result.OK))
		g.Expect(w.send("team-0", 0, plainJob(second), 0).Code).To(Equal(result.DedupFull))
		g.Expect(w.send("team-0", 0, plainJob(first), 1).Code).To(Equal(result.OK))
		time.Sleep(11 * time.Minute) // the window passes
		g.Expect(w.send("team-0", 0, plainJob(second), 1).Code).To(Equal(result.OK))
	})
}

// A rolling replacement of all VMs under load cuts nothing off.
// Each agent and entry in turn is told to stop, finishes what it has, and is
// replaced; callers go by the list, which no longer names a leaving entry.
func TestRollingReplacementCutsNothingOff(t *testing.T) {
	inWorld(t, safeguard.Off{}, func(g *WithT, w *World) {
		until := time.Now().Add(20 * time.Second)
		for n := range 4 {
			c := &caller{world: w, team: string(rune('a' + n)), rng: newRand(7, uint64(n))}
			w.wait.Go(func() { c.run(until) })
		}
		for _, name := range w.targetNames() {
			w.drain(name)
			time.Sleep(time.Second)
		}
		for i := range w.entries {
			w.drainEntry(i)
			time.Sleep(time.Second)
		}
		w.wait.Wait()
		for _, i := range w.History.Invocations {
			g.Expect(i.Code.Info().Run).NotTo(Equal(result.RunMaybe), "%s: %s %s %s", i.ID, i.Detail, i.Key, i.EndedAt)
		}
		g.Expect(len(w.History.Invocations)).To(BeNumerically(">", 200))
	})
}

// A streamed text whose engine dies is the same text.
// The entry asks another engine to go on from the prompt and what the caller has,
// for the tokens that are left; of either interface.
func TestATextGoesOnElsewhere(t *testing.T) {
	for _, chat := range []bool{false, true} {
		inWorld(t, safeguard.Off{}, func(g *WithT, w *World) {
			for _, name := range []string{"prog-llm-1", "prog-llm-2"} {
				e := w.targets[name].engine
				w.after(20*stepTime, func() {
					if e.Active() > 0 {
						e.Kill()
					}
				})
			}
			i := w.send("team-0", 0, generation("p", "", 64, true, chat), 0)
			g.Expect(i.Code).To(Equal(result.OK), i.Detail)
			g.Expect(i.Continuations).To(Equal(1))
			second := w.History.Executions[1].Body
			g.Expect(second).To(MatchRegexp(`"max_tokens":4\d`), "only what is left")
		})
	}
}

// A target that the platform calls leaving gets nothing new after two seconds.
// Its agent has heard nothing; the entries have, through the VM list. A repeat of
// what ran there still gets its answer.
func TestALeavingTargetGetsNothingNew(t *testing.T) {
	inWorld(t, safeguard.Off{}, func(g *WithT, w *World) {
		leaving := homeOf(w, "k", false)
		g.Expect(w.send("team-0", 0, plainJob("k"), 0).Code).To(Equal(result.OK))
		for _, name := range []string{leaving, "prog-llm-1"} {
			w.vms.Put(outside.VM{ID: name, Name: name, Role: outside.RoleTarget, Address: w.targets[name].addr, State: outside.StateLeaving})
		}
		sign := time.Now()
		for n := range 200 {
			w.send("team-0", n%2, plainJob(fmt.Sprint("key", n)), 0)
			w.send("team-0", n%2, generation(fmt.Sprint(n), "", 1, false, false), 0)
		}
		g.Expect(time.Since(sign)).To(BeNumerically(">", 3*time.Second))
		for _, e := range w.History.Executions {
			if e.Target == leaving || e.Target == "prog-llm-1" {
				g.Expect(e.At).To(BeTemporally("<", sign.Add(2*time.Second)))
			}
		}
		g.Expect(w.send("team-0", 1, plainJob("k"), 1).Code).To(Equal(result.OK))
	})
}
