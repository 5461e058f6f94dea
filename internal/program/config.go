// Package program puts the sidecar together: its configuration, its parts, its limits, and the signals that stop it.
package program

import (
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net/netip"
	"os"
	"strconv"
	"time"

	"kitewood/balance"
	"kitewood/internal/protocol"
	"kitewood/internal/routing"
	"kitewood/internal/transport"
	"kitewood/internal/wire"
)

// Config is what a sidecar is told when it starts.
type Config struct {
	Name, Listen, Discovery string
	Cores                   float64
	MemoryMB, Sockets       int
	CachedEndpoints         protocol.EndpointList // the list as this sidecar last had it; it may be old
	Balancer                balance.Settings
	Classes                 []protocol.Class
	Zones, Kinds            []string
	LoadFields              []string
	ConnIdle, ConnTimeout   time.Duration
}

// file is the form of $ROUTER_CONFIG.
type file struct {
	Name, Listen, Discovery, Seed string
	Limits                        struct {
		Cores    float64
		MemoryMB float64 `json:"memory_mb"`
		Sockets  float64
	}
	Known    json.RawMessage
	Settings json.RawMessage
}

// socketSettings are the settings that the module does not need and the sockets do.
type socketSettings struct {
	Profiles []struct {
		Name, Repeat string
		GiveUpS      float64
	}
	Permissions struct{ ConnIdleS, ConnectTimeoutS float64 }
	Telemetry   struct{ Fields []string }
	Zones       []string
	Shapes      []string
}

// Reload reads the configuration again. The file was replaced since the environment was set, so what it says of
// discovery goes before ROUTER_DISCOVERY.
func Reload(env func(string) string) (*Config, error) {
	return Load(func(name string) string {
		if name == "ROUTER_DISCOVERY" {
			return ""
		}
		return env(name)
	})
}

// Load reads the configuration that the environment names. What ROUTER_NAME, ROUTER_LISTEN and ROUTER_DISCOVERY say
// goes before the file.
func Load(env func(string) string) (*Config, error) {
	path := env("ROUTER_CONFIG")
	if path == "" {
		return nil, errors.New("ROUTER_CONFIG is not set: it names the configuration file")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("ROUTER_CONFIG: %w", err)
	}
	var f file
	if err := json.Unmarshal(text, &f); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	for name, to := range map[string]*string{"ROUTER_NAME": &f.Name, "ROUTER_LISTEN": &f.Listen, "ROUTER_DISCOVERY": &f.Discovery} {
		if v := env(name); v != "" {
			*to = v
		}
	}
	c, err := f.config()
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return c, nil
}

func (f *file) config() (*Config, error) {
	c := &Config{Name: f.Name, Listen: f.Listen, Discovery: f.Discovery, Cores: f.Limits.Cores,
		MemoryMB: int(f.Limits.MemoryMB), Sockets: int(f.Limits.Sockets)}
	if _, err := netip.ParseAddrPort(c.Listen); err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	if _, err := netip.ParseAddrPort(c.Discovery); err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	switch {
	case !(c.Cores > 0):
		return nil, errors.New("limits: cores must be above 0")
	case c.MemoryMB < 16:
		return nil, errors.New("limits: memory_mb must be at least 16")
	case c.Sockets < transport.MinSockets:
		return nil, fmt.Errorf("limits: sockets must be at least %d", transport.MinSockets)
	}
	seed, err := strconv.ParseUint(f.Seed, 16, 64)
	if err != nil {
		return nil, errors.New("seed: it must be up to 16 hexadecimal digits")
	}
	if len(f.Known) > 0 && string(f.Known) != "null" {
		if c.CachedEndpoints, err = protocol.ReadEndpointList(f.Known); err != nil {
			return nil, fmt.Errorf("known: %w", err)
		}
	}
	if len(f.Settings) == 0 {
		return nil, errors.New("settings are missing")
	}
	if c.Balancer, err = wire.ParseSettings(f.Settings, seed); err != nil {
		return nil, err
	}
	var s socketSettings
	if err := json.Unmarshal(f.Settings, &s); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	for i, p := range s.Profiles {
		if p.Name == "" {
			return nil, fmt.Errorf("settings: profile %d has no name", i)
		}
		class := protocol.Class{Name: p.Name, Methods: []string{"POST"}, Deadline: seconds(p.GiveUpS), Keyed: p.Repeat == "keyed"}
		if p.Repeat == "safe" {
			class.Methods = []string{"GET"}
		}
		c.Classes = append(c.Classes, class)
	}
	c.Zones, c.Kinds, c.LoadFields = s.Zones, s.Shapes, s.Telemetry.Fields
	c.ConnIdle, c.ConnTimeout = seconds(s.Permissions.ConnIdleS), seconds(s.Permissions.ConnectTimeoutS)
	if c.ConnIdle <= 0 || c.ConnTimeout <= 0 {
		return nil, errors.New("settings: permissions.connIdleS and permissions.connectTimeoutS must be above 0")
	}
	// A module that does not take its settings says so here, not when the sidecar already serves.
	if _, err := routing.New(c.Balancer, routing.Names{}, routing.NewClock(), slog.New(slog.DiscardHandler)); err != nil {
		return nil, err
	}
	return c, nil
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
