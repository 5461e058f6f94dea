package pools

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"os"
	"time"
)

// adminTimeout is how long whoever asks may take to read, so that none holds a descriptor for good.
const adminTimeout = 2 * time.Second

// adminAtOnce is how many may ask at a time; more wait in the socket's queue.
const adminAtOnce = 2

// Admin shows the Set's Status on a unix socket, until the context ends: whoever connects gets it as JSON, and the end.
// Only the owner of the process may connect. A socket that an earlier process has left is replaced, one that somebody
// listens on is an error.
func (s *Set) Admin(ctx context.Context, path string) error {
	if c, err := net.DialTimeout("unix", path, adminTimeout); err == nil {
		c.Close()
		return errors.New(path + ": another process listens there")
	}
	if info, err := os.Lstat(path); err == nil && info.Mode()&os.ModeSocket != 0 {
		os.Remove(path)
	}
	ln, err := net.Listen("unix", path)
	if err != nil {
		return err
	}
	if err := os.Chmod(path, 0o600); err != nil {
		ln.Close()
		return err
	}
	context.AfterFunc(ctx, func() { ln.Close() })
	for range adminAtOnce {
		go func() {
			for {
				c, err := ln.Accept()
				if errors.Is(err, net.ErrClosed) {
					return
				}
				if err != nil {
					s.log.Error("admin socket", "error", err)
					time.Sleep(adminTimeout) // a lack of descriptors, say
					continue
				}
				c.SetDeadline(time.Now().Add(adminTimeout))
				json.NewEncoder(c).Encode(s.Status())
				c.Close()
			}
		}()
	}
	return nil
}

// Ask reads the Status of a process from its admin socket.
func Ask(path string) (Status, error) {
	var out Status
	c, err := net.DialTimeout("unix", path, adminTimeout)
	if err != nil {
		return out, err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(2 * adminTimeout))
	return out, json.NewDecoder(c).Decode(&out)
}
