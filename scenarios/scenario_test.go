// Package scenarios runs scripted scenarios with real processes of the programs. README.md
// lists the commands of the scripts.
package scenarios

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

// binDir is the directory of the programs under test.
var binDir string

func TestMain(m *testing.M) { os.Exit(run(m)) }

// run builds the programs and runs the tests. It returns the exit code.
func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "heatherrail-scenarios-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binDir = dir
	build := exec.Command("go", "build", "-o", dir+string(filepath.Separator), "../cmd/...")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(env *testscript.Env) error {
			sc := &scenario{dir: env.WorkDir, procs: make(map[string]*process), batches: make(map[string]*batch), mapsBefore: make(map[string]string), pausedOwners: make(map[string]string)}
			env.Values[scenarioKey{}] = sc
			env.Setenv("PATH", binDir+string(filepath.ListSeparator)+os.Getenv("PATH"))
			examples, err := filepath.Abs("../examples")
			if err != nil {
				return err
			}
			env.Setenv("EXAMPLES", examples)
			env.Defer(sc.close)
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"fleet":    command((*scenario).fleet),
			"start":    command((*scenario).start),
			"shutdown": command((*scenario).shutdown),
			"crash":    command((*scenario).crash),
			"pause":    command((*scenario).pause),
			"resume":   command((*scenario).resume),
			"fault":    command((*scenario).fault),
			"send":     command((*scenario).send),
			"begin":    command((*scenario).begin),
			"end":      command((*scenario).end),
			"load":     command((*scenario).load),
			"popular":  command((*scenario).popular),
			"switched": command((*scenario).switched),
			"goes-on":  command((*scenario).goesOn),
			"owner":    command((*scenario).owner),
			"replace":  command((*scenario).replace),
			"promises": command((*scenario).promises),
			"counter":  command((*scenario).counter),
			"ready":    command((*scenario).ready),
			"repeat":   command((*scenario).repeat),
			"race":     command((*scenario).race),
		},
	})
}

// scenarioKey is the key of the *scenario in the values of a script.
type scenarioKey struct{}

// command adapts a method of scenario to a script command. The command prints the string that
// the method returns, and fails if the method does.
func command(f func(sc *scenario, args []string) (string, error)) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, neg bool, args []string) {
		sc := ts.Value(scenarioKey{}).(*scenario)
		out, err := f(sc, args)
		fmt.Fprintln(ts.Stdout(), out)
		ts.Logf("%s", out)
		switch {
		case err != nil && !neg:
			ts.Fatalf("%v", err)
		case err == nil && neg:
			ts.Fatalf("command succeeded, but must fail")
		}
	}
}
