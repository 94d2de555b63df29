package scenarios

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"

	"github.com/heatherrail/heatherrail/outside"
)

// process is a running program under test.
type process struct {
	cmd     *exec.Cmd
	vm      outside.VM
	started chan map[string]string // key=value pairs of the log event "started"
	done    chan struct{}          // closed when the process has ended and err is set
	err     error
}

// launch starts a program, and writes its log to NAME.log in the directory of the scenario. It
// returns the process and its standard output.
func (sc *scenario) launch(name, program string, args ...string) (*process, io.Reader, error) {
	p := &process{
		cmd:     exec.Command(filepath.Join(binDir, program), args...),
		started: make(chan map[string]string, 1),
		done:    make(chan struct{}),
	}
	stdout, err := p.cmd.StdoutPipe()
	if err != nil {
		return nil, nil, err
	}
	stderr, err := p.cmd.StderrPipe()
	if err != nil {
		return nil, nil, err
	}
	logFile, err := os.Create(filepath.Join(sc.dir, name+".log"))
	if err != nil {
		return nil, nil, err
	}
	if err := p.cmd.Start(); err != nil {
		return nil, nil, err
	}
	logged := make(chan struct{})
	go func() {
		defer close(logged)
		defer func() { _ = logFile.Close() }()
		p.readLog(io.TeeReader(stderr, logFile))
	}()
	go func() {
		<-logged
		p.err = p.cmd.Wait()
		close(p.done)
	}()
	sc.procs[name] = p
	return p, stdout, nil
}

// keyValuePattern matches a key=value pair of a log line.
var keyValuePattern = regexp.MustCompile(`(\S+?)=("[^"]*"|\S+)`)

// readLog reads the log of the process and sends the values of its first "started" event to
// p.started.
func (p *process) readLog(r io.Reader) {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		if !strings.Contains(lines.Text(), "event=started") {
			continue
		}
		values := make(map[string]string)
		for _, m := range keyValuePattern.FindAllStringSubmatch(lines.Text(), -1) {
			values[m[1]] = m[2]
		}
		select {
		case p.started <- values:
		default:
		}
	}
}

// awaitStart waits for the "started" event and returns its values.
func (p *process) awaitStart() (map[string]string, error) {
	select {
	case v := <-p.started:
		return v, nil
	case <-p.done:
		return nil, fmt.Errorf("process ended before its \"started\" event: %v", p.err)
	case <-time.After(waitTimeout):
		return nil, errors.New("no \"started\" event in time")
	}
}

// shutdown implements the command "shutdown NAME…": it sends SIGTERM to processes one after the
// other, and expects exit code 0.
func (sc *scenario) shutdown(names []string) (string, error) {
	return "", sc.forEachProcess(names, func(p *process) error {
		if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
			return err
		}
		return p.awaitEnd()
	})
}

// crash implements the command "crash NAME…": it kills processes without a shutdown, as the
// loss of a VM does.
func (sc *scenario) crash(names []string) (string, error) {
	return "", sc.forEachProcess(names, func(p *process) error {
		sc.removeEntry(p)
		_ = p.cmd.Process.Kill()
		<-p.done
		return nil
	})
}

// pause implements the command "pause NAME…": it stops processes with SIGSTOP.
func (sc *scenario) pause(names []string) (string, error) {
	return "", sc.forEachProcess(names, func(p *process) error {
		sc.removeEntry(p) // new callers would time out at a paused entry
		return p.cmd.Process.Signal(syscall.SIGSTOP)
	})
}

// resume implements the command "resume NAME…": it continues paused processes.
func (sc *scenario) resume(names []string) (string, error) {
	return "", sc.forEachProcess(names, func(p *process) error {
		sc.addEntry(p)
		return p.cmd.Process.Signal(syscall.SIGCONT)
	})
}

// forEachProcess calls f for the named processes in order, until the first error.
func (sc *scenario) forEachProcess(names []string, f func(*process) error) error {
	for _, name := range names {
		p := sc.procs[name]
		if p == nil {
			return fmt.Errorf("no process %s", name)
		}
		if err := f(p); err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
	}
	return nil
}

// awaitEnd waits until the process has ended and returns its exit error.
func (p *process) awaitEnd() error {
	select {
	case <-p.done:
		return p.err
	case <-time.After(waitTimeout):
		return errors.New("process did not end in time")
	}
}
