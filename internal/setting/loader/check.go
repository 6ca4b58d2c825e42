package loader

import (
	"fmt"
	"net"

	"github.com/mulberrylever/mulberrylever/internal/setting/parser"
)

// minKey is the least number of characters of an access key.
const minKey = 8

// checker collects faults.
type checker struct{ faults parser.Faults }

func (ch *checker) add(field, value, what string) {
	ch.faults = append(ch.faults, parser.Fault{Field: field, Value: fmt.Sprintf("%q", value), Message: what})
}

// Check returns everything wrong with the settings.
func (se Settings) Check() parser.Faults {
	ch := &checker{}
	if se.VM == "" {
		ch.add("vm", "", "must not be empty")
	}
	if se.Domain == "" {
		ch.add("domain", "", "must not be empty")
	}
	se.checkAddresses(ch)
	se.checkKeys(ch)
	se.checkTLS(ch)
	se.Limits.check(ch)
	switch se.LogLevel {
	case "debug", "info", "warn", "error":
	default:
		ch.add("logLevel", se.LogLevel, "must be debug, info, warn or error")
	}
	return ch.faults
}

func (se Settings) checkAddresses(ch *checker) {
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
			ch.add(ad.field, ad.value, "want an IP number and a port, such as 10.0.0.1:8080")
		}
	}
	if se.OutgoingIP != "" && net.ParseIP(se.OutgoingIP) == nil {
		ch.add("outgoingIp", se.OutgoingIP, "want an IP number")
	}
}

func (se Settings) checkKeys(ch *checker) {
	seen := make(map[string]bool)
	for i, ak := range se.AccessKeys {
		field := fmt.Sprintf("accessKeys[%d].key", i)
		if len(ak.Key) < minKey || ak.Team == "" {
			ch.add(field, ak.Key, fmt.Sprintf("want a key of %d or more characters and a team", minKey))
		}
		if seen[ak.Key] {
			ch.add(field, ak.Key, "stands twice")
		}
		seen[ak.Key] = true
	}
}

func (se Settings) checkTLS(ch *checker) {
	for _, tl := range []struct {
		field string
		files TLS
	}{{"callerTls", se.CallerTLS}, {"peerTls", se.PeerTLS}} {
		if (tl.files.CertFile == "") != (tl.files.KeyFile == "") {
			ch.add(tl.field+".certFile", tl.files.CertFile, "certFile and keyFile go together")
		}
	}
	if se.PeerTLS.CertFile != "" && se.PeerTLS.CAFile == "" {
		ch.add("peerTls.caFile", "", "is required with certFile")
	}
}

func (li Limits) check(ch *checker) {
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
			ch.add(limit.field, fmt.Sprint(limit.value), "must be more than 0")
		}
	}
	const parts = 2 // one team may hold half
	if li.MaxInFlightBytes < parts*li.MaxBodyBytes {
		ch.add("limits.maxInFlightBytes", fmt.Sprint(li.MaxInFlightBytes),
			fmt.Sprintf("must be at least twice limits.maxBodyBytes, which is %d: one team may hold half", li.MaxBodyBytes))
	}
}
