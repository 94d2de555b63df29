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

// runInWorld runs f in virtual time on a system with two entries. Afterwards it checks
// the history, unless a safeguard is off.
func runInWorld(t *testing.T, off safeguard.Off, f func(g *WithT, w *World)) {
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

// homeTarget returns the home target of a key of team-0, the only target that may run the key.
func homeTarget(w *World, key string, spare bool) string {
	names := []string{"oven-api-1", "oven-api-2", "oven-api-3"}
	if spare {
		names = append(names, "oven-api-4")
	}
	return names[route.HomeIndex(route.DedupKey("team-0", ServicePlain, key), names)]
}

// keyWithHome returns a key whose home target is target. moves states whether the key must get
// another home target when the spare target is added.
func keyWithHome(w *World, target string, moves bool) string {
	for n := 'a'; ; n++ {
		key := "key-" + string(n)
		if homeTarget(w, key, false) == target && (homeTarget(w, key, true) != target) == moves {
			return key
		}
	}
}

func executionsOfKey(w *World, key string) int {
	n := 0
	for _, e := range w.History.Executions {
		if e.Key == key {
			n++
		}
	}
	return n
}

// A caller sends the same key through two entries concurrently. Both entries must choose the same
// home target, and the second request must attach to the run of the first.
func TestSameKeyThroughTwoEntriesRunsOnce(t *testing.T) {
	runInWorld(t, safeguard.Off{}, func(g *WithT, w *World) {
		codes := make(chan result.Code, 2)
		for entryIdx := range 2 {
			go func() { codes <- w.send("team-0", entryIdx, plainJob("k"), 0).Code }()
		}
		g.Expect([]result.Code{<-codes, <-codes}).To(HaveEach(result.OK))
		g.Expect(executionsOfKey(w, "k")).To(Equal(1))
	})
}

// A caller loses the response and repeats the request; a faulty key generator reuses the
// key with another body.
func TestRepeatGetsStoredAnswerAndReusedKeyIsRefused(t *testing.T) {
	runInWorld(t, safeguard.Off{}, func(g *WithT, w *World) {
		first := w.send("team-0", 0, plainJob("k"), 0)
		again := w.send("team-0", 1, plainJob("k"), 1)
		g.Expect(again.Code).To(Equal(result.OK))
		g.Expect(again.Answer).To(Equal(first.Answer))
		other := plainJob("k")
		other.body = "something else"
		g.Expect(w.send("team-0", 0, other, 0).Code).To(Equal(result.KeyReused))
	})
}

// An entry dies after dispatch, and the caller repeats through another entry. The repeated request
// must attach to the run, which continues at the home target.
func TestRepeatAfterEntryCrashDoesNotRunTwice(t *testing.T) {
	runInWorld(t, safeguard.Off{}, func(g *WithT, w *World) {
		lost := make(chan *Invocation)
		go func() { lost <- w.send("team-0", 0, plainJob("k"), 0) }()
		time.Sleep(10 * time.Millisecond)
		w.entry(0).Close()
		first := <-lost
		g.Expect(first.Code.Info().Run).To(Equal(result.RunMaybe), first.Detail)
		g.Expect(w.send("team-0", 1, plainJob("k"), 1).Code).To(Equal(result.OK))
		g.Expect(executionsOfKey(w, "k")).To(Equal(1))
	})
}

// An agent loses its deduplication table in a restart, and the caller repeats a key. The entry that
// dispatched the key must report it to the agent, and the repeated request must end with "may have run".
func TestRestartedAgentRefusesDispatchedKeys(t *testing.T) {
	for _, newAddress := range []bool{false, true} { // the agent restarts on the same VM or on a new one
		runInWorld(t, safeguard.Off{}, func(g *WithT, w *World) {
			home := homeTarget(w, "k", false)
			g.Expect(w.send("team-0", 0, plainJob("k"), 0).Code).To(Equal(result.OK))
			w.replaceAgent(home, time.Second, newAddress)
			time.Sleep(time.Second)
			g.Expect(w.send("team-0", 1, plainJob("k"), 1).Code).To(Equal(result.KeyUncertain))
			unused := keyWithHome(w, home, false) + "2"
			g.Expect(w.send("team-0", 1, plainJob(unused), 0).Code).To(Equal(result.OK))
		})
	}
}

// A request frame arrives only after a restart of the agent and after its sender has timed out. The
// frame carries the agent's earlier incarnation, so the request must not run.
func TestDelayedFrameForEarlierIncarnationDoesNotRun(t *testing.T) {
	runInWorld(t, safeguard.Off{}, func(g *WithT, w *World) {
		g.Expect(result.From(lateFrame(g, w)).Code).To(Equal(result.StaleAgent))
		g.Expect(executionsOfKey(w, "late")).To(BeZero())
	})
}

// lateFrame sends a request for an earlier incarnation of the agent and returns the
// error of the response.
func lateFrame(g *WithT, w *World) error {
	nc, err := w.net.dialer("tool")(context.Background(), "oven-api-1/0")
	g.Expect(err).NotTo(HaveOccurred())
	c, err := wire.Client(nc, wire.Hello{Name: "tool", Role: wire.RoleEntry, Incarnation: 1000}, ignoreHandler{}, wire.Options{})
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

// ignoreHandler ignores streams and notes that an agent starts.
type ignoreHandler struct{}

func (ignoreHandler) ServeStream(context.Context, *wire.Stream, wire.Method, []byte) {}
func (ignoreHandler) ServeNote(*wire.Conn, wire.Note, []byte)                        {}

// The log service is down. Running processes must continue; an agent that starts in the
// meantime must answer unknown keys with "may have run" until it has read the log.
func TestLogOutageAffectsOnlyStartingProcesses(t *testing.T) {
	runInWorld(t, safeguard.Off{}, func(g *WithT, w *World) {
		w.Log.SetFaults(fake.LogFaults{Down: true})
		g.Expect(w.send("team-0", 0, plainJob("k"), 0).Code).To(Equal(result.OK))
		w.replaceAgent(homeTarget(w, "n", false), time.Second, false)
		time.Sleep(time.Second)
		g.Expect(w.send("team-0", 0, plainJob("n"), 0).Code).To(Equal(result.KeyUncertain))
		w.Log.SetFaults(fake.LogFaults{})
		time.Sleep(time.Second)
		again := w.send("team-0", 0, plainJob("n"), 1)
		g.Expect(again.Code).To(Equal(result.OK), again.Detail)
	})
}

// The log service loses the response to the registration of an entry. The entry must
// register again.
func TestEntryRegistersAgainAfterLostLogResponse(t *testing.T) {
	runInWorld(t, safeguard.Off{}, func(g *WithT, w *World) {
		w.entry(0).Close()
		w.Log.SetFaults(fake.LogFaults{DropResponses: 1})
		g.Expect(w.startEntry(0)).To(Succeed())
		time.Sleep(100 * time.Millisecond)
		g.Expect(w.send("team-0", 0, plainJob("k"), 0).Code).To(Equal(result.EntryUnregistered))
		time.Sleep(time.Second)
		g.Expect(w.send("team-0", 0, plainJob("k"), 1).Code).To(Equal(result.OK))
	})
}

// A configuration changes the home target of a key between two attempts. The entry that dispatched
// the key must report it to the new home target. An unused key must run there.
func TestKeyWithMovedHomeDoesNotRunTwice(t *testing.T) {
	runInWorld(t, safeguard.Off{}, func(g *WithT, w *World) {
		key := keyWithHome(w, "oven-api-2", true)
		g.Expect(w.send("team-0", 0, plainJob(key), 0).Code).To(Equal(result.OK))
		g.Expect(w.applyConfig(true)).To(Succeed())
		time.Sleep(time.Second)
		g.Expect(w.send("team-0", 1, plainJob(key), 1).Code).To(Equal(result.KeyUncertain))
		unused := "x" + key
		for homeTarget(w, unused, true) != "oven-api-4" {
			unused = "x" + unused
		}
		g.Expect(w.send("team-0", 1, plainJob(unused), 0).Code).To(Equal(result.OK))
	})
}

// A paused entry dispatches a key under an old version while others use the new one. The key must
// not run at both its old and its new home target.
func TestStaleEntryDoesNotRunKeyAtOldHome(t *testing.T) {
	runInWorld(t, safeguard.Off{}, func(g *WithT, w *World) {
		key := keyWithHome(w, "oven-api-2", true)
		w.net.pauseProcess("entry-1")
		time.Sleep(time.Second)
		g.Expect(w.applyConfig(true)).To(Succeed())
		time.Sleep(10 * time.Millisecond)
		late := make(chan *Invocation)
		go func() { late <- w.send("team-0", 0, plainJob(key), 0) }()
		g.Expect(w.send("team-0", 1, plainJob(key), 0).Code).To(Equal(result.KeyUncertain))
		w.net.resumeProcess("entry-1")
		<-late
		g.Expect(executionsOfKey(w, key)).To(BeNumerically("<=", 1))
	})
}

// A target is lost, and a configuration moves its keys to a new home target. This target must
// answer keys that the lost one ran with "may have run", and must run unused keys.
func TestKeysOfLostTargetMoveToNewHome(t *testing.T) {
	runInWorld(t, safeguard.Off{}, func(g *WithT, w *World) {
		g.Expect(w.applyConfig(true)).To(Succeed())
		time.Sleep(time.Second)
		key := "k"
		for homeTarget(w, key, true) != "oven-api-4" {
			key += "k"
		}
		g.Expect(w.send("team-0", 0, plainJob(key), 0).Code).To(Equal(result.OK))
		w.currentAgent("oven-api-4").Close()
		time.Sleep(time.Second)
		unused := key + "k"
		for homeTarget(w, unused, true) != "oven-api-4" {
			unused += "k"
		}
		g.Expect(w.send("team-0", 0, plainJob(unused), 0).Code.Info().Run).To(Equal(result.RunNot))
		g.Expect(w.applyConfig(false)).To(Succeed())
		time.Sleep(time.Second)
		g.Expect(w.send("team-0", 1, plainJob(key), 1).Code).To(Equal(result.KeyUncertain))
		g.Expect(w.send("team-0", 1, plainJob(unused), 1).Code).To(Equal(result.OK))
	})
}

// The entry that dispatched a key and the agent die within one deduplication window. All unknown keys
// must get "may have run", unless the entry wrote its dispatched keys to the log in a shutdown.
func TestUnknownKeysMayHaveRunAfterLossOfEntryAndAgent(t *testing.T) {
	for _, graceful := range []bool{false, true} {
		runInWorld(t, safeguard.Off{}, func(g *WithT, w *World) {
			home := homeTarget(w, "k", false)
			g.Expect(w.send("team-0", 0, plainJob("k"), 0).Code).To(Equal(result.OK))
			if graceful {
				w.drainEntry(0)
			} else {
				w.entry(0).Close()
			}
			w.replaceAgent(home, time.Second, false)
			time.Sleep(time.Second)
			g.Expect(w.send("team-0", 1, plainJob("k"), 1).Code).To(Equal(result.KeyUncertain))
			unused := "n" + keyWithHome(w, home, false)
			for homeTarget(w, unused, false) != home {
				unused = "n" + unused
			}
			want := result.KeyUncertain
			if graceful {
				want = result.OK
			}
			g.Expect(w.send("team-0", 1, plainJob(unused), 0).Code).To(Equal(want))
		})
	}
}

// The deduplication table is full. A new key must be refused, and no key may be evicted
// before the end of its window.
func TestFullDedupTableRefusesNewKeys(t *testing.T) {
	runInWorld(t, safeguard.Off{}, func(g *WithT, w *World) {
		snap := *w.entry(0).Current()
		w.entry(0).Current().Config.Policies[0].DedupKeys = 1
		defer func() { snap.Config.Policies[0].DedupKeys = 1 << 16 }()
		first := keyWithHome(w, "oven-api-1", false)
		second := "m" + first
		for homeTarget(w, second, false) != "oven-api-1" {
			second = "m" + second
		}
		g.Expect(w.send("team-0", 0, plainJob(first), 0).Code).To(Equal(result.OK))
		g.Expect(w.send("team-0", 0, plainJob(second), 0).Code).To(Equal(result.DedupFull))
		g.Expect(w.send("team-0", 0, plainJob(first), 1).Code).To(Equal(result.OK))
		time.Sleep(11 * time.Minute) // longer than the deduplication window
		g.Expect(w.send("team-0", 0, plainJob(second), 1).Code).To(Equal(result.OK))
	})
}

// All agents and entries are drained and replaced in turn under load. Requests in flight must
// complete. Callers send no requests to leaving entries.
func TestRollingReplacementInterruptsNoRequest(t *testing.T) {
	runInWorld(t, safeguard.Off{}, func(g *WithT, w *World) {
		until := time.Now().Add(20 * time.Second)
		for n := range 4 {
			c := &caller{world: w, team: string(rune('a' + n)), rng: newRand(7, uint64(n))}
			w.tasks.Go(func() { c.run(until) })
		}
		for _, name := range w.targetNames() {
			w.drainTarget(name)
			time.Sleep(time.Second)
		}
		for i := range w.entries {
			w.drainEntry(i)
			time.Sleep(time.Second)
		}
		w.tasks.Wait()
		for _, i := range w.History.Invocations {
			g.Expect(i.Code.Info().Run).NotTo(Equal(result.RunMaybe), "%s: %s %s %s", i.ID, i.Detail, i.Key, i.EndedAt)
		}
		g.Expect(len(w.History.Invocations)).To(BeNumerically(">", 200))
	})
}

// The engine dies during a streamed generation. The entry must continue it on another
// engine from the prompt and the streamed text, for the remaining tokens.
func TestGenerationContinuesOnAnotherEngine(t *testing.T) {
	for _, chat := range []bool{false, true} {
		runInWorld(t, safeguard.Off{}, func(g *WithT, w *World) {
			for _, name := range []string{"prog-llm-1", "prog-llm-2"} {
				e := w.targets[name].engine
				w.after(20*stepTime, func() {
					if e.Active() > 0 {
						e.Kill()
					}
				})
			}
			i := w.send("team-0", 0, generationJob("p", "", 64, true, chat), 0)
			g.Expect(i.Code).To(Equal(result.OK), i.Detail)
			g.Expect(i.Continuations).To(Equal(1))
			second := w.History.Executions[1].Body
			g.Expect(second).To(MatchRegexp(`"max_tokens":4\d`), "the continuation must request only the remaining tokens")
		})
	}
}

// The VM list marks a target as leaving, and its agent is not notified. New requests must stop
// within two seconds; a repeated request with a completed key must still get its answer.
func TestLeavingTargetGetsNoNewRequests(t *testing.T) {
	runInWorld(t, safeguard.Off{}, func(g *WithT, w *World) {
		leaving := homeTarget(w, "k", false)
		g.Expect(w.send("team-0", 0, plainJob("k"), 0).Code).To(Equal(result.OK))
		for _, name := range []string{leaving, "prog-llm-1"} {
			w.vms.Put(outside.VM{ID: name, Name: name, Role: outside.RoleTarget, Address: w.targets[name].addr, State: outside.StateLeaving})
		}
		leavingSince := time.Now()
		for n := range 200 {
			w.send("team-0", n%2, plainJob(fmt.Sprint("key", n)), 0)
			w.send("team-0", n%2, generationJob(fmt.Sprint(n), "", 1, false, false), 0)
		}
		g.Expect(time.Since(leavingSince)).To(BeNumerically(">", 3*time.Second))
		for _, e := range w.History.Executions {
			if e.Target == leaving || e.Target == "prog-llm-1" {
				g.Expect(e.At).To(BeTemporally("<", leavingSince.Add(2*time.Second)))
			}
		}
		g.Expect(w.send("team-0", 1, plainJob("k"), 1).Code).To(Equal(result.OK))
	})
}
