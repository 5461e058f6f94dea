package emulator

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
)

// The ports of a run. All are below the ephemeral port range, and the addresses belong to the run alone, so no other
// listener can occupy them.
const (
	lockPort      = 7001
	instancePort  = 7100 // plus the index of the sidecar
	sidecarPort   = 7080
	discoveryPort = 8500 // plus the index of the sidecar
)

// discoveryLocations is the number of addresses that discovery rotates through when it moves.
const discoveryLocations = 8

// addressBlock is the part of 127.0.0.0/8 that is reserved for a run: all addresses with one second octet.
type addressBlock struct {
	octet int
	lock  net.Listener // on lockPort; held for the whole run, it keeps other runs off the block
}

// newAddressBlock reserves a block that no other run holds.
func newAddressBlock() (*addressBlock, error) {
	for range 200 {
		octet := 20 + rand.IntN(220)
		lock, err := net.Listen("tcp", fmt.Sprintf("127.%d.0.1:%d", octet, lockPort))
		if err == nil {
			return &addressBlock{octet, lock}, nil
		}
	}
	return nil, errors.New("no free address block in 127.0.0.0/8: the lab needs a system where all of 127.0.0.0/8 is loopback, such as Linux")
}

func (b *addressBlock) instanceIP(tier, number int) string { return b.ip(10+tier, number) }
func (b *addressBlock) sidecarAddress(tier, index int) string {
	return fmt.Sprintf("%s:%d", b.ip(50+4*tier+index/250, index%250+1), sidecarPort)
}
func (b *addressBlock) discoveryAddress(location, tier, index int) string {
	return fmt.Sprintf("%s:%d", b.ip(2+location%discoveryLocations, tier+1), discoveryPort+index)
}

// relayedInstanceAddress and relayedDiscoveryAddress are the addresses at which a sidecar reaches an instance, or discovery,
// through a relay that can break the path.
func (b *addressBlock) relayedInstanceAddress(tier, number, index int) string {
	return fmt.Sprintf("%s:%d", b.ip(110+tier, number), instancePort+index)
}
func (b *addressBlock) relayedDiscoveryAddress(location, tier, index int) string {
	return fmt.Sprintf("%s:%d", b.ip(102+location%discoveryLocations, tier+1), discoveryPort+index)
}
func (b *addressBlock) ip(group, n int) string { return fmt.Sprintf("127.%d.%d.%d", b.octet, group, n) }
func (b *addressBlock) release()               { b.lock.Close() }
