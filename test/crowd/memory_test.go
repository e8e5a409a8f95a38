package crowd

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

// measureInterval is the time between two measurements of a process's memory.
const measureInterval = 50 * time.Millisecond

// usage is the memory of a process, in bytes.
type usage struct {
	// unread are the bytes that were received for the process and that it has not read, unsent
	// those that it has written and that the other ends have not accepted.
	unread, unsent int
	// total is the resident memory, unread and unsent.
	total int
}

// watchMemory measures the memory of the process until the function that it returns is called,
// which returns the largest values seen.
func (p *process) watchMemory() func() usage {
	var most usage
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for {
			if u, ok := p.memoryUsage(); ok {
				most.unread, most.unsent, most.total = max(most.unread, u.unread), max(most.unsent, u.unsent), max(most.total, u.total)
			}
			select {
			case <-stop:
				return
			case <-time.After(measureInterval):
			}
		}
	}()
	return func() usage {
		close(stop)
		<-stopped
		return most
	}
}

// memoryUsage returns the memory of the process. It reports false if the process has ended.
func (p *process) memoryUsage() (usage, bool) {
	pages, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", p.PID()))
	fields := strings.Fields(string(pages))
	if err != nil || len(fields) < 2 {
		return usage{}, false
	}
	resident, err := strconv.Atoi(fields[1])
	if err != nil {
		return usage{}, false
	}
	u := queuedBytes(p.PID())
	u.total = resident*os.Getpagesize() + u.unread + u.unsent
	return u, true
}

// queuedBytes returns what the operating system holds for the sockets of a process and for
// connections that it has not accepted yet.
func queuedBytes(pid int) usage {
	dir := fmt.Sprintf("/proc/%d/fd", pid)
	files, err := os.ReadDir(dir)
	if err != nil {
		return usage{} // the process has ended
	}
	own := make(map[string]bool)
	for _, f := range files {
		if target, err := os.Readlink(filepath.Join(dir, f.Name())); err == nil {
			if inode, found := strings.CutPrefix(target, "socket:["); found {
				own[strings.TrimSuffix(inode, "]")] = true
			}
		}
	}
	var queued usage
	listening := make(map[string]bool)
	waiting := make(map[string]int) // unread bytes of connections without a descriptor, by local address
	for _, table := range []string{"tcp", "tcp6", "udp", "udp6"} {
		text, err := os.ReadFile("/proc/net/" + table)
		if err != nil {
			continue // no such protocol
		}
		for _, line := range strings.Split(string(text), "\n") {
			s, ok := parseSocket(line)
			switch {
			case !ok:
			case s.listening && own[s.inode]:
				listening[s.local] = true
			case own[s.inode]:
				queued.unread += s.unread
				queued.unsent += s.unsent
			case s.inode == "0":
				waiting[s.local] += s.unread
			}
		}
	}
	for address := range listening {
		queued.unread += waiting[address]
	}
	return queued
}

// socket is an entry of the operating system's tables of sockets.
type socket struct {
	local, inode   string
	unread, unsent int
	listening      bool
}

// parseSocket parses a line of a table of sockets. It reports false for other lines.
func parseSocket(line string) (socket, bool) {
	const local, state, queues, inode, listen = 1, 3, 4, 9, "0A"
	fields := strings.Fields(line)
	if len(fields) <= inode {
		return socket{}, false
	}
	sent, received, _ := strings.Cut(fields[queues], ":")
	unsent, err := strconv.ParseInt(sent, 16, 64)
	if err != nil {
		return socket{}, false
	}
	unread, err := strconv.ParseInt(received, 16, 64)
	return socket{local: fields[local], inode: fields[inode], unread: int(unread), unsent: int(unsent), listening: fields[state] == listen}, err == nil
}
