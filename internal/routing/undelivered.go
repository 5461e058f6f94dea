package routing

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	undeliveredRetention = time.Minute // for how long a key is kept: clients that left and want their answer come again sooner
	maxUndeliveredKeys   = 8192        // kept at a time, some 1 MB
)

// undeliveredKeys remembers the keys of requests that may have run and whose clients disconnected before they had an answer. A
// request of a class that must not run twice, and that comes again under such a key, is not sent. If there are too many keys the
// oldest is forgotten. Keys are kept as hashes. It is safe for concurrent use, as Loops that follow one another share it.
type undeliveredKeys struct {
	mu     sync.Mutex
	until  map[uint64]time.Duration // end of the retention
	oldest []uint64                 // keys of until in the order of their ends
	lost   uint64                   // keys that were forgotten before their time
}

// newUndeliveredKeys returns an empty undeliveredKeys.
func newUndeliveredKeys() *undeliveredKeys {
	return &undeliveredKeys{until: map[uint64]time.Duration{}}
}

// record remembers a key.
func (u *undeliveredKeys) record(now time.Duration, key string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.expire(now)
	hash := xxhash.Sum64String(key)
	if _, known := u.until[hash]; known { // its place in the order is kept: it is forgotten no later than that
		return
	}
	if len(u.until) >= maxUndeliveredKeys {
		u.lost++
		u.removeOldest()
	}
	u.until[hash] = now + undeliveredRetention
	u.oldest = append(u.oldest, hash)
}

// contains reports whether a key is remembered.
func (u *undeliveredKeys) contains(now time.Duration, key string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.expire(now)
	_, known := u.until[xxhash.Sum64String(key)]
	return known
}

// forgotten returns how many keys were forgotten before their time.
func (u *undeliveredKeys) forgotten() uint64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.lost
}

// expire removes the keys whose retention has ended. u.mu is held.
func (u *undeliveredKeys) expire(now time.Duration) {
	for len(u.oldest) > 0 && u.until[u.oldest[0]] <= now {
		u.removeOldest()
	}
}

// removeOldest removes the key that is kept for the shortest time. u.mu is held.
func (u *undeliveredKeys) removeOldest() {
	delete(u.until, u.oldest[0])
	u.oldest = u.oldest[1:]
}
