package crowds

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"
)

// Waits before the tests of this package run, so that they run apart from those of other packages. Beyond maxAloneWait they
// run beside them: the go command ends a test process a minute after its own limit of ten.
const (
	maxAloneWait  = 8 * time.Minute
	aloneTime     = 2 * time.Second // how long the go command must have had no other child
	aloneInterval = 200 * time.Millisecond
)

func TestMain(m *testing.M) {
	if !waitAlone() {
		fmt.Println("soak/crowds: other packages are still running after", maxAloneWait)
	}
	code := m.Run()
	if programsDir != "" {
		_ = os.RemoveAll(programsDir)
	}
	os.Exit(code)
}

// waitAlone waits until the go command that runs the tests has no other child: no test of another package runs and none is
// being built.
func waitAlone() bool {
	goCommand := os.Getppid()
	if name, err := os.ReadFile(fmt.Sprintf("/proc/%d/comm", goCommand)); err != nil || string(bytes.TrimSpace(name)) != "go" {
		return true
	}
	start := time.Now()
	for since := start; time.Since(since) < aloneTime; time.Sleep(aloneInterval) {
		if time.Since(start) > maxAloneWait {
			return false
		}
		if hasOtherChild(goCommand) {
			since = time.Now()
		}
	}
	return true
}

func hasOtherChild(parent int) bool {
	files, _ := filepath.Glob("/proc/[0-9]*/stat")
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			continue // the process has ended
		}
		// The name in parentheses may contain spaces. The state and the parent follow it.
		fields := strings.Fields(string(text[bytes.LastIndexByte(text, ')')+1:]))
		pid, err := strconv.Atoi(filepath.Base(filepath.Dir(file)))
		if err == nil && pid != os.Getpid() && len(fields) > 1 && fields[1] == strconv.Itoa(parent) && fields[0] != "Z" {
			return true
		}
	}
	return false
}
