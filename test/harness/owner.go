package harness

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

// maxOwnersAge is the maximum age of a cached socket owner.
const maxOwnersAge = time.Second

// owners caches which instance's process uses which local port.
type owners struct {
	mu      sync.Mutex
	ports   map[string]string // "tcp:1234" -> instance; guarded by mu
	builtAt time.Time         // guarded by mu
}

// instanceOf returns the ID of the instance whose process uses a local source
// address, or "".
func (c *Cluster) instanceOf(source net.Addr) string {
	_, port, err := net.SplitHostPort(source.String())
	if err != nil {
		return ""
	}
	requestedAt := time.Now()
	o := &c.owners
	o.mu.Lock()
	defer o.mu.Unlock()
	key := source.Network() + ":" + port
	if id, ok := o.ports[key]; ok && requestedAt.Sub(o.builtAt) < maxOwnersAge {
		return id
	}
	if o.builtAt.Before(requestedAt) {
		o.ports = localPorts(c.pids.all())
		o.builtAt = time.Now()
	}
	return o.ports[key]
}

// localPorts returns the instance ID by local port. It matches the socket inodes
// of each process in /proc with the system's socket tables.
func localPorts(pids map[string]int) map[string]string {
	inodes := make(map[string]string)
	for id, pid := range pids {
		links, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid))
		for _, l := range links {
			name, err := os.Readlink(l)
			if inode, ok := strings.CutPrefix(name, "socket:["); err == nil && ok {
				inodes[strings.TrimSuffix(inode, "]")] = id
			}
		}
	}
	ports := make(map[string]string)
	for _, network := range []string{"tcp", "udp"} {
		for _, table := range []string{network, network + "6"} {
			addPorts(ports, network, "/proc/net/"+table, inodes)
		}
	}
	return ports
}

// Indexes of the fields of a line in /proc/net/tcp and /proc/net/udp.
const (
	fieldLocal = 1
	fieldInode = 9
)

func addPorts(ports map[string]string, network, table string, inodes map[string]string) {
	f, err := os.Open(table)
	if err != nil {
		return
	}
	defer f.Close()
	scanner := bufio.NewScanner(f)
	for scanner.Scan() {
		fields := strings.Fields(scanner.Text())
		if len(fields) <= fieldInode {
			continue
		}
		id, ok := inodes[fields[fieldInode]]
		_, hex, _ := strings.Cut(fields[fieldLocal], ":")
		port, err := strconv.ParseUint(hex, 16, 16)
		if ok && err == nil {
			ports[fmt.Sprintf("%s:%d", network, port)] = id
		}
	}
}
