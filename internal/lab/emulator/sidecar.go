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

// sidecar is a kitewood process and its place. Its name, address and index stay over restarts.
type sidecar struct {
	w      *World
	name   string
	tier   int
	index  int
	listen string
	me, of int

	mu      sync.Mutex
	forgets bool // its next process knows no list
	process *process
	pool    *httpc.Pool
}

// process is one life of a sidecar.
type process struct {
	cmd      *exec.Cmd
	ended    chan struct{}
	expected bool // the lab has ended it
	rest     int64
	peak     int64
}

// Process is what one sidecar process used.
type Process struct {
	Name      string  `json:"name"`
	Tier      int     `json:"tier"`
	IdleMB    float64 `json:"rest_mb"`
	PeakMB    float64 `json:"peak_mb"`
	CPUSecond float64 `json:"cpu_s"`
}

const (
	readyWithin = 10 * time.Second
	killLongest = 3 * time.Second        // a deadline that is longer counts as this
	killMargin  = 700 * time.Millisecond // after the longest deadline, as the protocol has it
)

// errInterrupted says that a run was ended before it had begun, or while a sidecar was starting.
var errInterrupted = errors.New("interrupted while sidecars were starting")

// configure writes the configuration file as the platform would, and beside it that of other installations where the
// scenario has those.
func (s *sidecar) configure() error {
	limits := s.w.s.Sidecar
	me, of := s.me, s.of
	if limits.Standalone {
		me, of = 0, 1
	}
	if limits.ConfigFormat == scenario.FormatPools {
		type object = map[string]any
		pool := s.w.s.Pool(s.tier, me, of)
		pool["members"] = object{"discovery": s.w.registry.address(s)}
		text, err := yaml.Marshal(object{"name": s.name, "seed": fmt.Sprintf("%016x", hash(s.name)^s.w.seed), "pools": []object{pool},
			"limits":    object{"cores": limits.Cores, "memory_mb": limits.MemoryMB, "sockets": limits.Sockets},
			"listeners": []object{{"address": s.listen}}, "routes": []object{{"path": "/", "pool": pool["name"]}}})
		if err != nil {
			return err
		}
		return filewatch.Replace(s.file("yaml"), text)
	}
	text, err := json.MarshalIndent(map[string]any{
		"name": s.name, "listen": s.listen, "discovery": s.w.registry.address(s),
		"seed":     fmt.Sprintf("%016x", hash(s.name)^s.w.seed),
		"limits":   map[string]any{"cores": limits.Cores, "memory_mb": limits.MemoryMB, "sockets": limits.Sockets},
		"known":    s.w.registry.cached(s),
		"settings": s.w.s.Settings(s.tier, me, of),
	}, "", " ")
	if err != nil {
		return err
	}
	return filewatch.Replace(s.file("json"), text)
}

func (s *sidecar) file(ext string) string { return filepath.Join(s.w.dir, "sidecars", s.name+"."+ext) }

// start runs the process and waits until it is ready.
func (s *sidecar) start() error {
	if err := s.configure(); err != nil {
		return err
	}
	log, err := os.OpenFile(s.file("log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	program, args := s.w.command(s)
	if s.w.proxies == nil && (s.w.debug || s.w.log.Enabled(context.Background(), slog.LevelDebug)) { // for kitewood-lab count
		args = append(args, "--log-level", "debug")
	}
	p := &process{cmd: exec.Command(program, args...), ended: make(chan struct{})}
	p.cmd.Env = append(append(os.Environ(), s.w.env...), "ROUTER_CONFIG="+s.file("json"))
	p.cmd.Stdout, p.cmd.Stderr = log, log
	if err := s.w.starter.Start(p.cmd); err != nil {
		return err
	}
	s.w.book.Add(ledger.Entry{Kind: ledger.SidecarStarted, Sidecar: s.name, Tier: s.tier})
	s.mu.Lock()
	s.process = p
	if s.pool == nil {
		s.pool = httpc.NewPool(httpc.Options{Address: s.listen, ConnectTimeout: time.Second, OnUnsolicited: s.w.extra})
	}
	s.mu.Unlock()
	s.w.tasks.Go(func() { s.watch(p) })
	text := httpc.FormatRequest("GET", "/health/ready", "backend.local", nil)
	for until := time.Now().Add(readyWithin); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		check := httpc.NewPool(httpc.Options{Address: s.listen})
		r := check.Do("", "GET", text, time.Now().Add(time.Second))
		check.Close()
		if r.Status == 200 {
			p.rest = child.Memory(p.cmd.Process.Pid, "VmRSS")
			return nil
		}
		select {
		case <-p.ended:
			return fmt.Errorf("sidecar %s ended before it was ready: %s", s.name, s.lastLine())
		case <-s.w.over:
			return errInterrupted
		default:
		}
	}
	return fmt.Errorf("sidecar %s was not ready within %s: %s", s.name, readyWithin, s.lastLine())
}

// watch waits for the end of a process; one that the lab has not asked for is a crash.
func (s *sidecar) watch(p *process) {
	p.cmd.Wait()
	s.mu.Lock()
	expected := p.expected
	s.mu.Unlock()
	if !expected {
		s.w.book.Add(ledger.Entry{Kind: ledger.SidecarCrashed, Sidecar: s.name, Tier: s.tier,
			Note: p.cmd.ProcessState.String() + ": " + s.lastLine()})
	}
	cpu := p.cmd.ProcessState.UserTime() + p.cmd.ProcessState.SystemTime()
	s.mu.Lock()
	peak := p.peak
	s.mu.Unlock()
	s.w.addProcess(Process{Name: s.name, Tier: s.tier, IdleMB: float64(p.rest) / (1 << 20), PeakMB: float64(peak) / (1 << 20),
		CPUSecond: cpu.Seconds()})
	close(p.ended)
}

// lastLine is the last line of the sidecar's log.
func (s *sidecar) lastLine() string {
	text, _ := os.ReadFile(s.file("log"))
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	return lines[len(lines)-1]
}

// measure takes the highest memory that the process has had.
func (s *sidecar) measure() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.process; p != nil {
		p.peak = max(p.peak, child.Memory(p.cmd.Process.Pid, "VmHWM"))
	}
}

// signal sends a signal to the process, if it runs. end says that its end is wanted.
func (s *sidecar) signal(sig syscall.Signal, end bool) *process {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.process == nil {
		return nil
	}
	if end {
		s.process.expected = true
		s.process.peak = max(s.process.peak, child.Memory(s.process.cmd.Process.Pid, "VmHWM"))
	}
	s.process.cmd.Process.Signal(sig)
	return s.process
}

// freeze stops the process where it is, as a machine that is cut off looks from outside.
func (s *sidecar) freeze() { s.signal(syscall.SIGSTOP, false) }

// runs tells whether a process is there that the lab has not ended.
func (s *sidecar) runs() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.process != nil && !s.process.expected
}

// forget says whether the next process starts with nothing remembered.
func (s *sidecar) forget(all bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forgets = all
}

// stand has the process stand still, and go on again.
func (s *sidecar) stand(still bool) {
	kind, sig := ledger.SidecarResumed, syscall.SIGCONT
	if still {
		kind, sig = ledger.SidecarPaused, syscall.SIGSTOP
	}
	s.w.book.Add(ledger.Entry{Kind: kind, Sidecar: s.name, Tier: s.tier})
	s.signal(sig, false)
}

// kill ends it outright.
func (s *sidecar) kill() {
	s.w.book.Add(ledger.Entry{Kind: ledger.SidecarEnded, Sidecar: s.name, Tier: s.tier})
	if p := s.signal(syscall.SIGKILL, true); p != nil {
		<-p.ended
	}
}

// term ends it by SIGTERM, and outright as soon as the protocol allows: when the longest deadline, taken as 3 s where it is longer,
// and the margin have passed.
func (s *sidecar) term() {
	p := s.signal(syscall.SIGTERM, true)
	if p == nil {
		return
	}
	longest := time.Duration(0)
	for _, c := range s.w.s.Classes {
		longest = max(longest, c.TotalTimeout.D())
	}
	longest = min(longest, killLongest)
	select {
	case <-p.ended:
	case <-time.After(longest + killMargin):
		s.kill()
	}
}

// client is the pool of connections to it.
func (s *sidecar) client() *httpc.Pool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pool
}

// reload replaces the configuration file and says so by SIGHUP.
func (s *sidecar) reload() error {
	if err := s.configure(); err != nil {
		return err
	}
	s.signal(syscall.SIGHUP, false)
	return nil
}
