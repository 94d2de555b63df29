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

// process is one program under test.
type process struct {
	cmd     *exec.Cmd
	vm      outside.VM
	started chan map[string]string // key=value pairs of its "started" event
	done    chan struct{}          // closed after its end; err is set then
	err     error
}

// launch starts a program; its log goes to NAME.log in the scenario's directory.
func (w *world) launch(name, program string, args ...string) (*process, io.Reader, error) {
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
	logFile, err := os.Create(filepath.Join(w.dir, name+".log"))
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
	w.procs[name] = p
	return p, stdout, nil
}

var pair = regexp.MustCompile(`(\S+?)=("[^"]*"|\S+)`)

func (p *process) readLog(r io.Reader) {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		if !strings.Contains(lines.Text(), "event=started") {
			continue
		}
		values := make(map[string]string)
		for _, m := range pair.FindAllStringSubmatch(lines.Text(), -1) {
			values[m[1]] = m[2]
		}
		select {
		case p.started <- values:
		default:
		}
	}
}

func (p *process) awaitStart() (map[string]string, error) {
	select {
	case v := <-p.started:
		return v, nil
	case <-p.done:
		return nil, fmt.Errorf("ended at its start: %v", p.err)
	case <-time.After(patience):
		return nil, errors.New("did not start")
	}
}

// shutdown NAME… shuts processes down gracefully and expects exit code 0.
func (w *world) shutdown(names []string) (string, error) {
	return "", w.each(names, func(p *process) error {
		if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
			return err
		}
		return p.awaitEnd()
	})
}

// crash NAME… ends processes as a lost VM does.
func (w *world) crash(names []string) (string, error) {
	return "", w.each(names, func(p *process) error {
		w.forgetEntry(p)
		_ = p.cmd.Process.Kill()
		<-p.done
		return nil
	})
}

// pause and resume freeze processes and let them go on.
func (w *world) pause(names []string) (string, error) {
	return "", w.each(names, func(p *process) error {
		w.forgetEntry(p) // new callers would only wait for it
		return p.cmd.Process.Signal(syscall.SIGSTOP)
	})
}

func (w *world) resume(names []string) (string, error) {
	return "", w.each(names, func(p *process) error {
		w.addEntry(p)
		return p.cmd.Process.Signal(syscall.SIGCONT)
	})
}

func (w *world) each(names []string, f func(*process) error) error {
	for _, name := range names {
		p := w.procs[name]
		if p == nil {
			return fmt.Errorf("there is no process %s", name)
		}
		if err := f(p); err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
	}
	return nil
}

func (p *process) awaitEnd() error {
	select {
	case <-p.done:
		return p.err
	case <-time.After(patience):
		return errors.New("did not end")
	}
}
