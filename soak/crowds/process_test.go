// Package crowds plays crowds of clients that do not behave against the real processes, with lowered limits. Its tests run one
// at a time.
package crowds

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"golang.org/x/sys/unix"
)

var (
	programsDir  string
	programsOnce sync.Once
	programsErr  error
)

// program returns the path of one of the project's programs, built without the race detector: it multiplies the memory.
func program(t *testing.T, name string) string {
	t.Helper()
	programsOnce.Do(func() {
		if programsDir, programsErr = os.MkdirTemp("", "crowds"); programsErr != nil {
			return
		}
		out, err := exec.Command("go", "build", "-o", programsDir, "../../cmd/heatherrail-gateway", "../../cmd/heatherrail-rank",
			"../../cmd/heatherrail-entry", "../../cmd/heatherrail-agent").CombinedOutput()
		if err != nil {
			programsErr = fmt.Errorf("%w: %s", err, out)
		}
	})
	NewWithT(t).Expect(programsErr).NotTo(HaveOccurred())
	return filepath.Join(programsDir, name)
}

// limits are the limits of one process, as the platform sets them.
type limits struct {
	memoryMB int
	files    int
}

// process is one running process under test, with the peak of what it has held.
type process struct {
	t       *testing.T
	limits  limits
	cmd     *exec.Cmd
	log     string
	exited  chan struct{}
	stop    chan struct{}
	sampled chan struct{}

	mu                   sync.Mutex
	peakBytes, peakFiles int
}

// start starts a program and samples what it holds until the end of the test. The kernel enforces the limit on files.
func start(t *testing.T, l limits, path string, args, env []string) *process {
	t.Helper()
	g := NewWithT(t)
	p := &process{t: t, limits: l, log: filepath.Join(t.TempDir(), filepath.Base(path)+".log"),
		exited: make(chan struct{}), stop: make(chan struct{}), sampled: make(chan struct{})}
	out, err := os.Create(p.log)
	g.Expect(err).NotTo(HaveOccurred())
	p.cmd = exec.Command(path, args...)
	p.cmd.Env = append(os.Environ(), env...)
	p.cmd.Stdout, p.cmd.Stderr = out, out
	g.Expect(p.cmd.Start()).To(Succeed())
	p.limitFiles(l.files)
	go func() {
		_ = p.cmd.Wait()
		_ = out.Close()
		close(p.exited)
	}()
	go p.sample()
	t.Cleanup(p.end)
	return p
}

// limitFiles sets the kernel's limit on the open files of the process.
func (p *process) limitFiles(n int) {
	p.t.Helper()
	limit := unix.Rlimit{Cur: uint64(n), Max: uint64(n)}
	NewWithT(p.t).Expect(unix.Prlimit(p.cmd.Process.Pid, unix.RLIMIT_NOFILE, &limit, nil)).To(Succeed())
}

func (p *process) end() {
	close(p.stop)
	<-p.sampled
	_ = p.cmd.Process.Signal(syscall.SIGKILL) // the process may have ended
	<-p.exited
	if p.t.Failed() {
		p.t.Logf("last lines of the log:\n%s", lastLines(p.log, 20))
	}
}

const sampleInterval = 25 * time.Millisecond

func (p *process) sample() {
	defer close(p.sampled)
	for {
		select {
		case <-p.stop:
			return
		case <-p.exited:
			return
		case <-time.After(sampleInterval):
		}
		pid := p.cmd.Process.Pid
		inodes := sockets(pid)
		bytes := statusBytes(pid, "VmRSS") + kernelBytes(inodes)
		files, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
		p.mu.Lock()
		p.peakBytes, p.peakFiles = max(p.peakBytes, bytes), max(p.peakFiles, len(files))
		p.mu.Unlock()
	}
}

// statusBytes returns a field of the status of a process, in bytes.
func statusBytes(pid int, field string) int {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(line, field+":"); ok {
			kb, _ := strconv.Atoi(strings.Fields(value)[0])
			return kb << 10
		}
	}
	return 0
}

// sockets returns the inodes of the sockets of a process.
func sockets(pid int) map[string]bool {
	inodes := make(map[string]bool)
	links, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid))
	for _, link := range links {
		name, _ := os.Readlink(link)
		if inode, ok := strings.CutPrefix(name, "socket:["); ok {
			inodes[strings.TrimSuffix(inode, "]")] = true
		}
	}
	return inodes
}

// kernelBytes returns the bytes that sockets have received and the process has not read, and that the process has written
// and the peer has not acknowledged.
func kernelBytes(inodes map[string]bool) (bytes int) {
	const queueColumn, inodeColumn = 4, 9
	for _, name := range []string{"/proc/net/tcp", "/proc/net/tcp6"} {
		file, err := os.Open(name)
		if err != nil {
			continue
		}
		lines := bufio.NewScanner(file)
		for lines.Scan() {
			columns := strings.Fields(lines.Text())
			if len(columns) <= inodeColumn || !inodes[columns[inodeColumn]] {
				continue
			}
			written, received, _ := strings.Cut(columns[queueColumn], ":")
			for _, text := range []string{written, received} {
				n, _ := strconv.ParseInt(text, 16, 64)
				bytes += int(n)
			}
		}
		_ = file.Close()
	}
	return bytes
}

// expectWithinLimits checks that the process lives and has stayed within its limits.
func (p *process) expectWithinLimits() {
	p.t.Helper()
	g := NewWithT(p.t)
	g.Consistently(p.exited, aliveTime).ShouldNot(BeClosed(), "the process lives")
	p.mu.Lock()
	peak, files := max(p.peakBytes, statusBytes(p.cmd.Process.Pid, "VmHWM")), p.peakFiles
	p.mu.Unlock()
	p.t.Logf("peak: %d MB of %d, %d files of %d", peak>>20, p.limits.memoryMB, files, p.limits.files)
	g.Expect(peak).To(BeNumerically("<=", p.limits.memoryMB<<20), "peak of the memory in bytes")
	g.Expect(files).To(BeNumerically("<=", p.limits.files), "peak of the open files")
}

const aliveTime = 100 * time.Millisecond

func lastLines(path string, n int) string {
	text, _ := os.ReadFile(path)
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	return strings.Join(lines[max(0, len(lines)-n):], "\n")
}

// freePorts returns ports of an address that nothing listens on.
func freePorts(t *testing.T, ip string, n int) (ports []int) {
	t.Helper()
	var listeners []net.Listener
	for range n {
		ln, err := net.Listen("tcp", ip+":0")
		NewWithT(t).Expect(err).NotTo(HaveOccurred())
		listeners = append(listeners, ln)
		ports = append(ports, ln.Addr().(*net.TCPAddr).Port)
	}
	for _, ln := range listeners {
		_ = ln.Close()
	}
	return ports
}
