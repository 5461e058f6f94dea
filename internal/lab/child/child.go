package child

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// Child is a process whose output goes to a file.
type Child struct {
	Done    chan struct{} // closed when the process has ended
	cmd     *exec.Cmd
	logPath string
}

// Start starts a program with env added to its environment and its output written to the file logPath.
func Start(logPath string, env []string, program string, args ...string) (*Child, error) {
	out, err := os.Create(logPath)
	if err != nil {
		return nil, err
	}
	defer out.Close()
	c := &Child{Done: make(chan struct{}), cmd: exec.Command(program, args...), logPath: logPath}
	c.cmd.Env = append(os.Environ(), env...)
	c.cmd.Stdout, c.cmd.Stderr = out, out
	starter := NewStarter()
	if err := starter.Start(c.cmd); err != nil {
		starter.Close()
		return nil, err
	}
	go func() {
		c.cmd.Wait()
		starter.Close()
		close(c.Done)
	}()
	return c, nil
}

// ControlProcess is a kitewood-control process.
type ControlProcess struct {
	*Child
	Address string // listener for proxies
}

// StartControl starts a control service without TLS, with its configuration and log in the directory dir. rest is the part of the
// configuration that has the pools and routes.
func StartControl(program, dir, name, rest string, env ...string) (c *ControlProcess, err error) {
	address, err := Reserve()
	if err != nil {
		return nil, err
	}
	defer func() {
		if err != nil {
			address.Release()
		}
	}()
	path := filepath.Join(dir, name+"-config.yaml")
	text := fmt.Sprintf("name: %s\nplaintext: true\nlisteners: [{address: %q}]\n%s", name, address, rest)
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		return nil, err
	}
	started, err := Start(filepath.Join(dir, name+".log"), env, program, "serve", "--config", path)
	if err != nil {
		return nil, err
	}
	go func() {
		<-started.Done
		address.Release()
	}()
	return &ControlProcess{Child: started, Address: address.String()}, nil
}

// Signal sends a signal to the process.
func (c *Child) Signal(s syscall.Signal) { c.cmd.Process.Signal(s) }

// Kill kills the process and waits for its end.
func (c *Child) Kill() {
	c.cmd.Process.Kill()
	<-c.Done
}

// Stop sends SIGTERM and kills the process if it has not ended within the timeout. It returns a problem if the process had to be
// killed or ended with a status other than 0, and "" otherwise.
func (c *Child) Stop(timeout time.Duration) string {
	c.Signal(syscall.SIGTERM)
	problem := ""
	select {
	case <-c.Done:
	case <-time.After(timeout):
		c.Kill()
		problem = fmt.Sprintf("the process did not end within %s; ", timeout)
	}
	if !c.cmd.ProcessState.Success() {
		return problem + "the process ended with " + c.cmd.ProcessState.String()
	}
	return problem
}

// Output returns what the process has written to its output, or the error of reading it.
func (c *Child) Output() string {
	text, err := os.ReadFile(c.logPath)
	if err != nil {
		return err.Error()
	}
	return string(text)
}

// Memory returns a memory metric of the process; see the function Memory.
func (c *Child) Memory(metric string) int64 { return Memory(c.cmd.Process.Pid, metric) }

// CPU returns the processor time that the process has used, 0 if it cannot be read.
func (c *Child) CPU() time.Duration {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", c.cmd.Process.Pid))
	_, rest, _ := strings.Cut(string(text), ") ")
	f := strings.Fields(rest)
	if len(f) < 13 {
		return 0
	}
	user, _ := strconv.Atoi(f[11])
	system, _ := strconv.Atoi(f[12])
	return time.Duration(user+system) * time.Second / 100 // the kernel reports it in ticks of 10 ms
}
