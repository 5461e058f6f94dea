package pools

import (
	"context"

	"kitewood/internal/adminsocket"
)

// ServeAdmin serves the Set's Status on a unix socket until the context ends.
func (s *Set) ServeAdmin(ctx context.Context, path string) error {
	return adminsocket.Serve(ctx, path, s.log, map[string]adminsocket.Handler{adminsocket.StateCommand: adminsocket.SingleValue(func() any { return s.Status() })})
}

// ReadStatus reads the Status of a process from its admin socket.
func ReadStatus(path string) (Status, error) {
	var status Status
	return status, adminsocket.Query(path, adminsocket.StateCommand, &status)
}
