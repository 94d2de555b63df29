// Package scenarios holds scripted scenarios over real processes of the three
// programs. README.md lists the commands of the test language.
package scenarios

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

// binDir holds the programs under test.
var binDir string

func TestMain(m *testing.M) { os.Exit(run(m)) }

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
			w := &world{dir: env.WorkDir, procs: make(map[string]*process), batches: make(map[string]*batch), maps: make(map[string]string), owners: make(map[string]string)}
			env.Values[worldKey{}] = w
			env.Setenv("PATH", binDir+string(filepath.ListSeparator)+os.Getenv("PATH"))
			examples, err := filepath.Abs("../examples")
			if err != nil {
				return err
			}
			env.Setenv("EXAMPLES", examples)
			env.Defer(w.close)
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"fleet":    command((*world).fleet),
			"start":    command((*world).start),
			"shutdown": command((*world).shutdown),
			"crash":    command((*world).crash),
			"pause":    command((*world).pause),
			"resume":   command((*world).resume),
			"fault":    command((*world).fault),
			"send":     command((*world).send),
			"begin":    command((*world).begin),
			"end":      command((*world).end),
			"load":     command((*world).load),
			"popular":  command((*world).popular),
			"switched": command((*world).switched),
			"goes-on":  command((*world).goesOn),
			"owner":    command((*world).owner),
			"replace":  command((*world).replace),
			"promises": command((*world).promises),
			"counter":  command((*world).counter),
			"ready":    command((*world).ready),
			"repeat":   command((*world).repeat),
			"race":     command((*world).race),
		},
	})
}

type worldKey struct{}

// command adapts a method of world; what it returns is the command's output.
func command(f func(w *world, args []string) (string, error)) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, neg bool, args []string) {
		w := ts.Value(worldKey{}).(*world)
		out, err := f(w, args)
		fmt.Fprintln(ts.Stdout(), out)
		ts.Logf("%s", out)
		switch {
		case err != nil && !neg:
			ts.Fatalf("%v", err)
		case err == nil && neg:
			ts.Fatalf("succeeded, but must fail")
		}
	}
}
