package prover_test

import (
	"fmt"
	"math/rand/v2"
	"net"

	"github.com/onsi/gomega"
)

// advertisedAddress returns the address that the list of VMs gives for a
// process: its own, or that of a relay in front of it.
func (fl *fleet) advertisedAddress(name string, nextAddress func() string) string {
	address := nextAddress()
	if !fl.spec.relayed {
		return address
	}
	fl.listenAddresses[name] = address
	return fl.startRelay(name, nextAddress)
}

// startRelay starts a relay to a process and returns the relay's address.
func (fl *fleet) startRelay(name string, nextAddress func() string) string {
	address := nextAddress()
	li, err := net.Listen("tcp", address)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	target := fl.listenAddresses[name]
	go func() { _ = fl.network.Forward(fl.relayCtx, li, name, target) }()
	return address
}

// vmByIP returns the entry VM that connects from a source IP, or "outside".
func (fl *fleet) vmByIP(ip string) string {
	var n int
	if _, err := fmt.Sscanf(ip, "127.0.1.%d", &n); err != nil || n > len(fl.config.VMs.Entries) {
		return "outside"
	}
	return string(fl.config.VMs.Entries[n-1].ID)
}

// freeAddresses returns loopback addresses with unused ports. The ports are below
// the ephemeral range. Otherwise an outgoing connection could take the port of a
// process while that process is down.
func freeAddresses(n int) []string {
	const lowestPort, highestPort = 10_000, 32_000
	out := make([]string, 0, n)
	port := lowestPort + rand.IntN(highestPort-lowestPort)
	for tries := 0; len(out) < n; tries++ {
		gomega.Expect(tries).To(gomega.BeNumerically("<", highestPort-lowestPort), "no free ports")
		port++
		if port >= highestPort {
			port = lowestPort
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
