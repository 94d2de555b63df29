package outcomes

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"github.com/heatherrail/heatherrail/internal/safeguard"
)

// A checker that can't convict proves nothing.
// Each safeguard is switched off alone, in a scenario that needs it, and the
// checker must find the broken promise; with it on, the same scenario is clean.
func TestTheCheckerConvicts(t *testing.T) {
	cases := []struct {
		name     string
		off      safeguard.Off
		base     safeguard.Off // what is off in the clean run too
		rule     string
		scenario func(w *World)
	}{
		{"agent's ledger", safeguard.Off{Ledger: true}, safeguard.Off{}, RuleAtMostOnce, twoEntries},
		{"one home", safeguard.Off{Home: true, Witness: true}, safeguard.Off{Witness: true}, RuleAtMostOnce, repeats},
		{"witness", safeguard.Off{Witness: true}, safeguard.Off{}, RuleAtMostOnce, restartedAgent},
		{"entry's book", safeguard.Off{Book: true}, safeguard.Off{}, RuleAtMostOnce, restartedAgent},
		{"roster", safeguard.Off{Roster: true}, safeguard.Off{}, RuleAtMostOnce, deadEntryAndAgent},
		{"incarnation", safeguard.Off{Incarnation: true, Witness: true}, safeguard.Off{Witness: true}, RuleAtMostOnce, lateFrames},
		{"overtaken agent", safeguard.Off{Supersede: true}, safeguard.Off{}, RuleAtMostOnce, twoAgents},
		{"doubt", safeguard.Off{Doubt: true}, safeguard.Off{}, RuleNotRun, lostAnswers},
		{"deadline", safeguard.Off{Deadline: true}, safeguard.Off{}, RuleDeadline, stalledEngines},
		{"continuation", safeguard.Off{Continue: true}, safeguard.Off{}, RuleCompleteAnswer, killedEngine},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			g.Expect(rulesBroken(t, tc.off, tc.scenario)).To(ContainElement(tc.rule))
			g.Expect(rulesBroken(t, tc.base, tc.scenario)).To(BeEmpty())
		})
	}
}

func rulesBroken(t *testing.T, off safeguard.Off, scenario func(w *World)) (rules []string) {
	synctest.Test(t, func(t *testing.T) {
		w, err := NewWorld(Options{Engines: 2, PlainTargets: 3, Entries: 2, Latency: time.Millisecond, Off: off, Logger: logr.Discard()})
		NewWithT(t).Expect(err).NotTo(HaveOccurred())
		scenario(w)
		w.Close()
		time.Sleep(time.Minute)
		for _, v := range Check(w.History) {
			rules = append(rules, v.Rule)
		}
	})
	return rules
}

func twoEntries(w *World) {
	done := make(chan bool)
	for at := range 2 {
		go func() { w.send("team-0", at, plainJob("k"), 0); done <- true }()
	}
	<-done
	<-done
}

func repeats(w *World) {
	for n := range 10 {
		for at := range 2 {
			w.send("team-0", at, plainJob(fmt.Sprint(n)), at)
		}
	}
}

func restartedAgent(w *World) {
	w.send("team-0", 0, plainJob("k"), 0)
	w.replaceAgent(homeOf(w, "k", false), time.Second, false)
	time.Sleep(time.Second)
	w.send("team-0", 1, plainJob("k"), 1)
}

func deadEntryAndAgent(w *World) {
	w.send("team-0", 0, plainJob("k"), 0)
	w.entry(0).Close()
	w.replaceAgent(homeOf(w, "k", false), time.Second, false)
	time.Sleep(time.Second)
	w.send("team-0", 1, plainJob("k"), 1)
}

// lateFrames: a key ran before the restart, and its frame arrives again after it.
func lateFrames(w *World) {
	g := NewWithT(failer{})
	w.History.ran(&Execution{Key: "late", ID: "first"})
	_ = lateFrame(g, w)
}

// twoAgents: a VM was replaced while the old one goes on, and an entry that
// starts has an old VM list.
func twoAgents(w *World) {
	home := homeOf(w, "k", false)
	old := w.agentOf(home)
	w.targets[home].moves++
	w.must(w.startAgent(home))
	time.Sleep(time.Second)
	w.send("team-0", 0, plainJob("k"), 0)
	w.net.mu.Lock()
	w.net.astray["entry-2"+home+"/1"] = home + "/0"
	w.net.mu.Unlock()
	w.entry(1).Close()
	w.must(w.startEntry(1))
	time.Sleep(time.Second)
	w.send("team-0", 1, plainJob("k"), 1)
	old.Close()
}

func stalledEngines(w *World) {
	w.targets["prog-llm-1"].engine.Stall(true)
	w.targets["prog-llm-2"].engine.Stall(true)
	w.after(callerDeadline+time.Second, func() {
		w.targets["prog-llm-1"].engine.Stall(false)
		w.targets["prog-llm-2"].engine.Stall(false)
	})
	w.send("team-0", 0, generation("p", "", minTokens, true, false), 0)
}

func killedEngine(w *World) {
	for n := range 10 { // the budget for a retry comes with the requests
		w.send("team-0", 0, generation(fmt.Sprint(n), "", 1, true, false), 0)
	}
	w.after(10*stepTime, func() {
		for _, name := range []string{"prog-llm-1", "prog-llm-2"} {
			if e := w.targets[name].engine; e.Active() > 0 {
				e.Kill()
			}
		}
	})
	w.send("team-0", 0, generation("p", "", 4*minTokens, true, false), 0)
}

// failer ends a scenario whose set-up fails.
type failer struct{}

func (failer) Helper()                   {}
func (failer) Fatalf(f string, a ...any) { panic(fmt.Sprintf(f, a...)) }

// lostAnswers: a request runs, its answer is lost with the agents, and its retry
// finds no target.
func lostAnswers(w *World) {
	for n := range 12 {
		w.send("team-0", 0, plainJob(fmt.Sprint(n)), 0)
	}
	for _, name := range []string{"oven-api-1", "oven-api-2", "oven-api-3"} {
		w.targets[name].plain.SetDelay(0)
		w.net.delay(name, 100*time.Millisecond)
		w.after(50*time.Millisecond, w.agentOf(name).Close)
	}
	open := plainJob("k")
	open.key = ""
	w.send("team-0", 0, open, 0)
}
