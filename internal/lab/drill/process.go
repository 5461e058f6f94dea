package drill

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"kitewood/internal/lab/httpc"
)

// poolsProcess is a kitewood process with the pools of a configuration file, and their services.
type poolsProcess struct {
	dir      string
	address  string
	sockets  int
	services []*service
	cmd      *exec.Cmd
	log      *os.File
	ended    chan struct{}
	once     sync.Once
	note     string
}

// startPools starts the services and the process, and waits until it is ready.
func startPools(ctx context.Context, o Options, dir string, t trouble) (p *poolsProcess, err error) {
	p = &poolsProcess{dir: dir, sockets: t.sockets, ended: make(chan struct{})}
	defer func() {
		if err != nil {
			p.end()
		}
	}()
	for i, name := range poolNames {
		delay := 5 * time.Millisecond
		if i == 0 && t.delay > 0 {
			delay = t.delay
		}
		s, err := newService(name, 3, delay)
		if err != nil {
			return nil, err
		}
		p.services = append(p.services, s)
		if err := os.WriteFile(filepath.Join(dir, name+".yaml"), []byte(s.list()), 0o644); err != nil {
			return nil, err
		}
	}
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p.address = free.Addr().String()
	free.Close()
	if err := p.configure(true); err != nil {
		return nil, err
	}
	if p.log, err = os.Create(filepath.Join(dir, "kitewood.log")); err != nil {
		return nil, err
	}
	cmd := exec.Command(o.Binary, "serve", "--config", filepath.Join(dir, "kitewood.yaml"))
	cmd.Stdout, cmd.Stderr = p.log, p.log
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p.cmd = cmd
	go func() { cmd.Wait(); close(p.ended) }()
	pool := httpc.NewPool(httpc.Options{Address: p.address, ConnectTimeout: time.Second})
	defer pool.Close()
	ready := httpc.Text("GET", "/health/ready", "drill", nil)
	for until := time.Now().Add(60 * time.Second); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		if pool.Do("", "GET", ready, time.Now().Add(time.Second)).Status == 200 {
			return p, nil
		}
		select {
		case <-p.ended:
			return nil, fmt.Errorf("the process ended before it was ready: %s", p.said())
		case <-ctx.Done():
			return nil, context.Cause(ctx)
		default:
		}
	}
	return nil, fmt.Errorf("the process was not ready within a minute: %s", p.said())
}

func (p *poolsProcess) hup() { p.cmd.Process.Signal(syscall.SIGHUP) }

// said is what the process logged.
func (p *poolsProcess) said() string {
	text, err := os.ReadFile(p.log.Name())
	if err != nil {
		return err.Error()
	}
	return string(text)
}

// end stops the process and the services, and tells what was wrong with its end, if anything.
func (p *poolsProcess) end() string {
	p.once.Do(func() {
		if p.cmd != nil {
			p.cmd.Process.Signal(syscall.SIGTERM)
			select {
			case <-p.ended:
			case <-time.After(30 * time.Second):
				p.cmd.Process.Kill()
				<-p.ended
				p.note = "it did not end within 30 s. "
			}
			if !p.cmd.ProcessState.Success() {
				p.note += "it ended with " + p.cmd.ProcessState.String() + ". "
			}
			for line := range strings.Lines(p.said()) {
				if strings.Contains(line, "panic") || strings.Contains(line, "not taken") {
					p.note += strings.TrimSpace(line) + " "
				}
			}
		}
		for _, s := range p.services {
			s.close()
		}
		if p.log != nil {
			p.log.Close()
		}
	})
	return p.note
}
