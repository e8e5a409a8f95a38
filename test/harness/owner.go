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

// ownersAge bounds the age of what is known of the owners of sockets.
const ownersAge = time.Second

// owners knows which instance's process has which local port.
type owners struct {
	mu    sync.Mutex
	ports map[string]string // "tcp:1234" -> instance; guarded by mu
	built time.Time         // guarded by mu
}

// owner names the instance whose process has a local source address, or "".
func (c *Cluster) owner(source net.Addr) string {
	_, port, err := net.SplitHostPort(source.String())
	if err != nil {
		return ""
	}
	asked := time.Now()
	o := &c.owners
	o.mu.Lock()
	defer o.mu.Unlock()
	key := source.Network() + ":" + port
	if id, ok := o.ports[key]; ok && asked.Sub(o.built) < ownersAge {
		return id
	}
	if o.built.Before(asked) {
		o.ports = localPorts(c.pids.all())
		o.built = time.Now()
	}
	return o.ports[key]
}

// localPorts finds the local ports of all instances.
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

// Fields of a line of the system's table of sockets.
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
