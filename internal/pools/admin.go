package pools

import (
	"context"

	"kitewood/internal/adminsocket"
)

// Admin shows the Set's Status on a unix socket, until the context ends.
func (s *Set) Admin(ctx context.Context, path string) error {
	return adminsocket.Serve(ctx, path, s.log, map[string]adminsocket.Handler{adminsocket.StateCommand: adminsocket.SingleValue(func() any { return s.Status() })})
}

// Ask reads the Status of a process from its admin socket.
func Ask(path string) (Status, error) {
	var out Status
	return out, adminsocket.Query(path, adminsocket.StateCommand, &out)
}
