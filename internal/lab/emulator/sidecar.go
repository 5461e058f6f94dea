package emulator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/goccy/go-yaml"

	"kitewood/internal/filewatch"
	"kitewood/internal/lab/child"
	"kitewood/internal/lab/httpc"
	"kitewood/internal/lab/ledger"
	"kitewood/internal/lab/scenario"
)

// sidecar is a kitewood sidecar over all its processes: its name, address and index stay the same across restarts.
type sidecar struct {
	w                    *World
	name                 string
	tier                 int
	index                int
	listen               string
	peerIndex, peerCount int

	mu         sync.Mutex
	startEmpty bool // its next process starts without an endpoint list
	process    *process
	pool       *httpc.Pool
}

// process is one process of a sidecar, from its start to its end.
type process struct {
	cmd          *exec.Cmd
	ended        chan struct{}
	exitExpected bool  // the lab has asked it to end
	idleMemory   int64 // bytes, once it is ready
	peakMemory   int64 // bytes
}

// Process is the resource usage of one sidecar process.
type Process struct {
	Name      string  `json:"name"`
	Tier      int     `json:"tier"`
	IdleMB    float64 `json:"rest_mb"`
	PeakMB    float64 `json:"peak_mb"`
	CPUSecond float64 `json:"cpu_s"`
}

const (
	readyTimeout    = 10 * time.Second
	killMaxDeadline = 3 * time.Second        // a longer deadline counts as this
	killMargin      = 700 * time.Millisecond // after the longest deadline, as the protocol defines it
)

// errInterrupted is returned if a run is ended while a sidecar is starting.
var errInterrupted = errors.New("run interrupted while sidecars were starting")

// writeConfig writes the configuration file: in the platform's form, or with pools if the scenario sets that form.
func (s *sidecar) writeConfig() error {
	limits := s.w.scenario.Sidecar
	index, count := s.peerIndex, s.peerCount
	if limits.Standalone {
		index, count = 0, 1
	}
	if limits.ConfigFormat == scenario.FormatPools {
		type object = map[string]any
		pool := s.w.scenario.Pool(s.tier, index, count)
		pool["members"] = object{"discovery": s.w.registry.address(s)}
		text, err := yaml.Marshal(object{"name": s.name, "seed": fmt.Sprintf("%016x", hash(s.name)^s.w.seed), "pools": []object{pool},
			"limits":    object{"cores": limits.Cores, "memory_mb": limits.MemoryMB, "sockets": limits.Sockets},
			"listeners": []object{{"address": s.listen}}, "routes": []object{{"path": "/", "pool": pool["name"]}}})
		if err != nil {
			return err
		}
		return filewatch.Replace(s.path("yaml"), text)
	}
	text, err := json.MarshalIndent(map[string]any{
		"name": s.name, "listen": s.listen, "discovery": s.w.registry.address(s),
		"seed":     fmt.Sprintf("%016x", hash(s.name)^s.w.seed),
		"limits":   map[string]any{"cores": limits.Cores, "memory_mb": limits.MemoryMB, "sockets": limits.Sockets},
		"known":    s.w.registry.cachedList(s),
		"settings": s.w.scenario.Settings(s.tier, index, count),
	}, "", " ")
	if err != nil {
		return err
	}
	return filewatch.Replace(s.path("json"), text)
}

// path is the path of a file of the sidecar: configuration or log.
func (s *sidecar) path(ext string) string { return filepath.Join(s.w.dir, "sidecars", s.name+"."+ext) }

// start starts a process and waits until it is ready.
func (s *sidecar) start() error {
	if err := s.writeConfig(); err != nil {
		return err
	}
	log, err := os.OpenFile(s.path("log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	program, args := s.w.sidecarCommand(s)
	if s.w.proxies == nil && (s.w.debug || s.w.log.Enabled(context.Background(), slog.LevelDebug)) { // read by kitewood-lab count
		args = append(args, "--log-level", "debug")
	}
	p := &process{cmd: exec.Command(program, args...), ended: make(chan struct{})}
	p.cmd.Env = append(append(os.Environ(), s.w.env...), "ROUTER_CONFIG="+s.path("json"))
	p.cmd.Stdout, p.cmd.Stderr = log, log
	if err := s.w.starter.Start(p.cmd); err != nil {
		return err
	}
	s.w.ledger.Add(ledger.Entry{Kind: ledger.SidecarStarted, Sidecar: s.name, Tier: s.tier})
	s.mu.Lock()
	s.process = p
	if s.pool == nil {
		s.pool = httpc.NewPool(httpc.Options{Address: s.listen, ConnectTimeout: time.Second, OnUnsolicited: s.w.recordExtraBytes})
	}
	s.mu.Unlock()
	s.w.tasks.Go(func() { s.awaitExit(p) })
	text := httpc.FormatRequest("GET", "/health/ready", "backend.local", nil)
	for until := time.Now().Add(readyTimeout); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		check := httpc.NewPool(httpc.Options{Address: s.listen})
		r := check.Do("", "GET", text, time.Now().Add(time.Second))
		check.Close()
		if r.Status == 200 {
			p.idleMemory = child.Memory(p.cmd.Process.Pid, "VmRSS")
			return nil
		}
		select {
		case <-p.ended:
			return fmt.Errorf("sidecar %s exited before it was ready: %s", s.name, s.lastLogLine())
		case <-s.w.done:
			return errInterrupted
		default:
		}
	}
	return fmt.Errorf("sidecar %s was not ready within %s: %s", s.name, readyTimeout, s.lastLogLine())
}

// awaitExit waits for the end of a process and records its resource usage. An end that the lab has not asked for is a crash.
func (s *sidecar) awaitExit(p *process) {
	p.cmd.Wait()
	s.mu.Lock()
	expected := p.exitExpected
	s.mu.Unlock()
	if !expected {
		s.w.ledger.Add(ledger.Entry{Kind: ledger.SidecarCrashed, Sidecar: s.name, Tier: s.tier,
			Note: p.cmd.ProcessState.String() + ": " + s.lastLogLine()})
	}
	cpu := p.cmd.ProcessState.UserTime() + p.cmd.ProcessState.SystemTime()
	s.mu.Lock()
	peak := p.peakMemory
	s.mu.Unlock()
	s.w.addProcess(Process{Name: s.name, Tier: s.tier, IdleMB: float64(p.idleMemory) / (1 << 20), PeakMB: float64(peak) / (1 << 20),
		CPUSecond: cpu.Seconds()})
	close(p.ended)
}

// lastLogLine is the last line of the sidecar's log.
func (s *sidecar) lastLogLine() string {
	text, _ := os.ReadFile(s.path("log"))
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	return lines[len(lines)-1]
}

// samplePeakMemory updates the peak memory of the process.
func (s *sidecar) samplePeakMemory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.process; p != nil {
		p.peakMemory = max(p.peakMemory, child.Memory(p.cmd.Process.Pid, "VmHWM"))
	}
}

// signal sends a signal to the process, if there is one, and returns it. end marks the end of the process as expected.
func (s *sidecar) signal(sig syscall.Signal, end bool) *process {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.process == nil {
		return nil
	}
	if end {
		s.process.exitExpected = true
		s.process.peakMemory = max(s.process.peakMemory, child.Memory(s.process.cmd.Process.Pid, "VmHWM"))
	}
	s.process.cmd.Process.Signal(sig)
	return s.process
}

// freeze suspends the process without a record: that is how a machine that is off the network looks from outside.
func (s *sidecar) freeze() { s.signal(syscall.SIGSTOP, false) }

// isRunning reports whether there is a process that the lab has not asked to end.
func (s *sidecar) isRunning() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.process != nil && !s.process.exitExpected
}

// setStartEmpty sets whether the next process starts without an endpoint list.
func (s *sidecar) setStartEmpty(empty bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.startEmpty = empty
}

// setSuspended suspends or resumes the process and records it.
func (s *sidecar) setSuspended(suspend bool) {
	kind, sig := ledger.SidecarResumed, syscall.SIGCONT
	if suspend {
		kind, sig = ledger.SidecarPaused, syscall.SIGSTOP
	}
	s.w.ledger.Add(ledger.Entry{Kind: kind, Sidecar: s.name, Tier: s.tier})
	s.signal(sig, false)
}

// kill ends the process by SIGKILL and waits for its end.
func (s *sidecar) kill() {
	s.w.ledger.Add(ledger.Entry{Kind: ledger.SidecarEnded, Sidecar: s.name, Tier: s.tier})
	if p := s.signal(syscall.SIGKILL, true); p != nil {
		<-p.ended
	}
}

// terminate ends the process by SIGTERM, and by SIGKILL as soon as the protocol allows: when the longest deadline, at most 3 s,
// and the margin have passed.
func (s *sidecar) terminate() {
	p := s.signal(syscall.SIGTERM, true)
	if p == nil {
		return
	}
	maxDeadline := time.Duration(0)
	for _, c := range s.w.scenario.Classes {
		maxDeadline = max(maxDeadline, c.TotalTimeout.D())
	}
	maxDeadline = min(maxDeadline, killMaxDeadline)
	select {
	case <-p.ended:
	case <-time.After(maxDeadline + killMargin):
		s.kill()
	}
}

// clientPool is the pool of connections to the sidecar.
func (s *sidecar) clientPool() *httpc.Pool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pool
}

// reloadConfig replaces the configuration file and sends SIGHUP.
func (s *sidecar) reloadConfig() error {
	if err := s.writeConfig(); err != nil {
		return err
	}
	s.signal(syscall.SIGHUP, false)
	return nil
}
