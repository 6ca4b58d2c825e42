package loader

import (
	"fmt"
	"net"

	"github.com/mulberrylever/mulberrylever/internal/setting/parser"
)

// minKeyBytes is the minimum length of an access key.
const minKeyBytes = 8

// validator collects faults.
type validator struct{ faults parser.Faults }

func (va *validator) add(field, value, message string) {
	va.faults = append(va.faults, parser.Fault{Field: field, Value: fmt.Sprintf("%q", value), Message: message})
}

// Check returns everything wrong with the settings.
func (se Settings) Check() parser.Faults {
	va := &validator{}
	if se.VM == "" {
		va.add("vm", "", "must not be empty")
	}
	if se.Domain == "" {
		va.add("domain", "", "must not be empty")
	}
	se.checkAddresses(va)
	se.checkKeys(va)
	se.checkTLS(va)
	se.Limits.check(va)
	switch se.LogLevel {
	case "debug", "info", "warn", "error":
	default:
		va.add("logLevel", se.LogLevel, "must be debug, info, warn or error")
	}
	return va.faults
}

func (se Settings) checkAddresses(va *validator) {
	type address struct{ field, value string }
	addresses := []address{
		{"callerAddress", se.CallerAddress},
		{"peerAddress", se.PeerAddress},
		{"peerAdvertise", se.PeerAdvertise},
		{"adminAddress", se.AdminAddress},
		{"platform", se.Platform},
	}
	for i, ne := range se.Neighbours {
		addresses = append(addresses, address{fmt.Sprintf("neighbours[%d]", i), ne})
	}
	for _, ad := range addresses {
		host, _, err := net.SplitHostPort(ad.value)
		if err != nil || net.ParseIP(host) == nil {
			va.add(ad.field, ad.value, "want an IP address and a port, such as 10.0.0.1:8080")
		}
	}
	if se.OutgoingIP != "" && net.ParseIP(se.OutgoingIP) == nil {
		va.add("outgoingIp", se.OutgoingIP, "want an IP address")
	}
}

func (se Settings) checkKeys(va *validator) {
	seen := make(map[string]bool)
	for i, ak := range se.AccessKeys {
		field := fmt.Sprintf("accessKeys[%d].key", i)
		if len(ak.Key) < minKeyBytes || ak.Team == "" {
			va.add(field, ak.Key, fmt.Sprintf("want a key of %d or more characters and a team", minKeyBytes))
		}
		if seen[ak.Key] {
			va.add(field, ak.Key, "duplicate key")
		}
		seen[ak.Key] = true
	}
}

func (se Settings) checkTLS(va *validator) {
	for _, tl := range []struct {
		field string
		files TLS
	}{{"callerTls", se.CallerTLS}, {"peerTls", se.PeerTLS}} {
		if (tl.files.CertFile == "") != (tl.files.KeyFile == "") {
			va.add(tl.field+".certFile", tl.files.CertFile, "certFile and keyFile go together")
		}
	}
	if se.PeerTLS.CertFile != "" && se.PeerTLS.CAFile == "" {
		va.add("peerTls.caFile", "", "is required with certFile")
	}
}

func (li Limits) check(va *validator) {
	for _, limit := range []struct {
		field string
		value int64
	}{
		{"limits.maxBodyBytes", li.MaxBodyBytes},
		{"limits.maxHeaderBytes", int64(li.MaxHeaderBytes)},
		{"limits.maxConnections", int64(li.MaxConnections)},
		{"limits.maxInFlightBytes", li.MaxInFlightBytes},
		{"limits.writeTimeoutMs", li.WriteTimeoutMs},
		{"limits.drainMs", li.DrainMs},
	} {
		if limit.value <= 0 {
			va.add(limit.field, fmt.Sprint(limit.value), "must be more than 0")
		}
	}
	// One team may hold half of maxInFlightBytes, and that must fit one body of the
	// largest size.
	const minBodies = 2
	if li.MaxInFlightBytes < minBodies*li.MaxBodyBytes {
		va.add("limits.maxInFlightBytes", fmt.Sprint(li.MaxInFlightBytes),
			fmt.Sprintf("must be at least twice limits.maxBodyBytes, which is %d: one team may hold half", li.MaxBodyBytes))
	}
}
