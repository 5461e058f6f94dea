package drill

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// controlService is a kitewood-control process.
type controlService struct {
	cmd     *exec.Cmd
	address string
	log     string
	ended   chan struct{}
}

// startControl starts a control service with two pools whose lists lie in a folder.
func startControl(o Options, dir, name string) (*controlService, error) {
	return startControlWith(o, dir, name, `  - {name: web, members: {file: web.yaml}, classes: [{name: any, effect: unsafe, aim: 1s, deadline: 3s}]}
  - {name: rpc, members: {file: rpc.yaml}, classes: [{name: any, effect: unsafe, aim: 1s, deadline: 3s}]}
`, `  - {hosts: [web.test], pool: web}
  - {hosts: [rpc], pool: rpc}
`)
}

// startControlWith starts a control service with these lines of pools and routes.
func startControlWith(o Options, dir, name, pools, routes string) (*controlService, error) {
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c := &controlService{address: free.Addr().String(), log: filepath.Join(dir, name+".log"), ended: make(chan struct{})}
	free.Close()
	path := filepath.Join(dir, name+"-config.yaml")
	text := fmt.Sprintf(`name: %s
plaintext: true
listeners: [{address: %q}]
pools:
%sroutes:
%s`, name, c.address, pools, routes)
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		return nil, err
	}
	log, err := os.Create(c.log)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	c.cmd = exec.Command(o.Control, "serve", "--config", path)
	c.cmd.Env = append(os.Environ(), "GOMAXPROCS=4") // the cores that the figures are stated for
	c.cmd.Stdout, c.cmd.Stderr = log, log
	if err := c.cmd.Start(); err != nil {
		return nil, err
	}
	go func() { c.cmd.Wait(); close(c.ended) }()
	return c, nil
}

// cpu is the processor time that the service has used.
func (c *controlService) cpu() time.Duration {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", c.cmd.Process.Pid))
	_, rest, _ := strings.Cut(string(text), ") ")
	f := strings.Fields(rest)
	if len(f) < 13 {
		return 0
	}
	user, _ := strconv.Atoi(f[11])
	system, _ := strconv.Atoi(f[12])
	return time.Duration(user+system) * time.Second / 100 // the kernel's unit for programs
}

// memory is what the service holds in memory, in bytes.
func (c *controlService) memory() int {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", c.cmd.Process.Pid))
	for line := range strings.Lines(string(text)) {
		if f := strings.Fields(line); len(f) > 1 && f[0] == "VmRSS:" {
			kb, _ := strconv.Atoi(f[1])
			return kb << 10
		}
	}
	return 0
}

// stop ends the service and tells whether it ended by itself, with status 0.
func (c *controlService) stop() bool {
	c.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-c.ended:
	case <-time.After(20 * time.Second):
		c.cmd.Process.Kill()
		<-c.ended
	}
	return c.cmd.ProcessState.Success()
}
