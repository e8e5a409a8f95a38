package harness

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
)

// owner names the instance whose process has a local source address, or "".
func (c *Cluster) owner(source net.Addr) string {
	_, port, err := net.SplitHostPort(source.String())
	if err != nil {
		return ""
	}
	inode := socketInode(source.Network(), port)
	if inode == "" {
		return ""
	}
	want := "socket:[" + inode + "]"
	for id, pid := range c.pids.all() {
		links, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid))
		for _, l := range links {
			if name, err := os.Readlink(l); err == nil && name == want {
				return id
			}
		}
	}
	return ""
}

// socketInode finds the socket with a local port in the system's table.
func socketInode(network, port string) string {
	n, err := strconv.Atoi(port)
	if err != nil {
		return ""
	}
	local := fmt.Sprintf(":%04X", n)
	for _, table := range []string{"/proc/net/" + network, "/proc/net/" + network + "6"} {
		if inode := inodeIn(table, local); inode != "" {
			return inode
		}
	}
	return ""
}

// Fields of a line of the system's table of sockets.
const (
	fieldLocal = 1
	fieldInode = 9
)

func inodeIn(table, local string) string {
	f, err := os.Open(table)
	if err != nil {
		return ""
	}
	defer f.Close()
	scanner := bufio.NewScanner(f)
	for scanner.Scan() {
		fields := strings.Fields(scanner.Text())
		if len(fields) > fieldInode && strings.HasSuffix(fields[fieldLocal], local) && fields[fieldInode] != "0" {
			return fields[fieldInode]
		}
	}
	return ""
}
