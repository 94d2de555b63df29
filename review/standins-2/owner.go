package main

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
)

// All VMs of a case share one machine, and all connections on loopback come from one address. An engine
// therefore tells a caller on its own VM from others by the process at the other end of the connection.

// connOwner adds the process ID of the other end of a connection to its context; 0 if it is not found.
func connOwner(ctx context.Context, c net.Conn) context.Context {
	remote, ok := c.RemoteAddr().(*net.TCPAddr)
	if !ok {
		return ctx
	}
	return context.WithValue(ctx, ownKey{}, processOfPort(remote.Port, c.LocalAddr().(*net.TCPAddr).Port))
}

func ownerOf(r *http.Request) int {
	pid, _ := r.Context().Value(ownKey{}).(int)
	return pid
}

// processOfPort returns the process that has a connection between two ports.
func processOfPort(localPort, remotePort int) int {
	inode := inodeOf(localPort, remotePort)
	if inode == "" {
		return 0
	}
	link := "socket:[" + inode + "]"
	fds, _ := filepath.Glob("/proc/[0-9]*/fd/*")
	for _, fd := range fds {
		if target, err := os.Readlink(fd); err == nil && target == link {
			pid, _ := strconv.Atoi(strings.Split(fd, "/")[2])
			return pid
		}
	}
	return 0
}

func inodeOf(localPort, remotePort int) string {
	f, err := os.Open("/proc/self/net/tcp")
	if err != nil {
		return ""
	}
	defer func() { _ = f.Close() }()
	lines := bufio.NewScanner(f)
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		if len(fields) > 9 && portOf(fields[1]) == localPort && portOf(fields[2]) == remotePort {
			return fields[9]
		}
	}
	return ""
}

func portOf(address string) int {
	_, text, _ := strings.Cut(address, ":")
	port, err := strconv.ParseInt(text, 16, 32)
	if err != nil {
		return 0
	}
	return int(port)
}
