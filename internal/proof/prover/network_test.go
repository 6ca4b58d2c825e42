package prover_test

import (
	"fmt"
	"math/rand/v2"
	"net"

	"github.com/onsi/gomega"
)

// listed returns the address under which a process is listed: its own, or a
// relay's.
func (fl *fleet) listed(name string, next func() string) string {
	address := next()
	if !fl.size.linked {
		return address
	}
	fl.listen[name] = address
	return fl.relay(name, next)
}

// relay opens a relay to a process and returns its address.
func (fl *fleet) relay(name string, next func() string) string {
	address := next()
	li, err := net.Listen("tcp", address)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	target := fl.listen[name]
	go func() { _ = fl.relays.Forward(fl.relayCtx, li, name, target) }()
	return address
}

// vmName returns the entry VM that connects from an IP number.
func (fl *fleet) vmName(ip string) string {
	var n int
	if _, err := fmt.Sscanf(ip, "127.0.1.%d", &n); err != nil || n > len(fl.file.VMs.Entries) {
		return "outside"
	}
	return string(fl.file.VMs.Entries[n-1].ID)
}

// freePorts returns ports that nothing listens on now. They are below those
// that outgoing connections get, one of which could otherwise take the port of a
// process while it is down.
func freePorts(n int) []string {
	const lowest, highest = 10_000, 32_000
	out := make([]string, 0, n)
	port := lowest + rand.IntN(highest-lowest)
	for tries := 0; len(out) < n; tries++ {
		gomega.Expect(tries).To(gomega.BeNumerically("<", highest-lowest), "no free ports")
		port++
		if port >= highest {
			port = lowest
		}
		li, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		defer li.Close()
		out = append(out, li.Addr().String())
	}
	return out
}
