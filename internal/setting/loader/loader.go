// Package loader reads and checks the settings file of one entry VM's process:
// its name, failure domain and addresses, the platform's address, TLS files,
// access keys and limits.
package loader

import (
	"fmt"
	"os"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/setting/parser"
)

// TLS names the files for encrypted connections. All empty means plain TCP.
type TLS struct {
	CertFile string `json:"certFile"`
	KeyFile  string `json:"keyFile"`
	CAFile   string `json:"caFile"` // authority that signs the peers' certificates
}

// AccessKey authenticates a team's requests. A team may have several keys, so
// that they can be rotated.
type AccessKey struct {
	Key  string    `json:"key"`
	Team ml.TeamID `json:"team"`
}

// Limits bounds the resources of the process that callers may use.
type Limits struct {
	MaxBodyBytes     int64 `json:"maxBodyBytes"`
	MaxHeaderBytes   int   `json:"maxHeaderBytes"`
	MaxConnections   int   `json:"maxConnections"`
	MaxInFlightBytes int64 `json:"maxInFlightBytes"` // total size of the request bodies held at once
	WriteTimeoutMs   int64 `json:"writeTimeoutMs"`   // a caller that reads nothing for this long is disconnected
	DrainMs          int64 `json:"drainMs"`          // time at a stop during which the process reports not ready but still serves
}

// Settings are the settings of one entry VM.
type Settings struct {
	VM              ml.VMID     `json:"vm"`
	Domain          ml.DomainID `json:"domain"`
	Cell            ml.CellID   `json:"cell"`          // part of a large failure domain; empty when the domain is not divided
	CallerAddress   string      `json:"callerAddress"` // host:port for callers
	PeerAddress     string      `json:"peerAddress"`   // host:port for other entry VMs
	PeerAdvertise   string      `json:"peerAdvertise"` // host:port announced to other entry VMs; peerAddress when empty
	AdminAddress    string      `json:"adminAddress"`  // host:port for operators
	OutgoingIP      string      `json:"outgoingIp"`    // source IP address of outgoing connections; any when empty
	Platform        string      `json:"platform"`      // host:port of the platform's services
	Neighbours      []string    `json:"neighbours"`    // peer addresses queried when the platform is unavailable
	CallerTLS       TLS         `json:"callerTls"`
	PeerTLS         TLS         `json:"peerTls"`
	AccessKeys      []AccessKey `json:"accessKeys"`
	AdminKey        string      `json:"adminKey"` // operators' bearer key; empty for none
	Limits          Limits      `json:"limits"`
	LogLevel        string      `json:"logLevel"`
	FatalViolations bool        `json:"fatalViolations"` // end the process when an invariant is violated
}

// Load reads the settings file at path. See Parse.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fmt.Errorf("read settings: %w", err)
	}
	se, err := Parse(data)
	if err != nil {
		return se, fmt.Errorf("settings %s: %w", path, err)
	}
	return se, nil
}

// Parse decodes settings over the defaults and checks the result.
func Parse(data []byte) (Settings, error) {
	se := Default()
	err := parser.Parse(data, &se)
	se.fillDerived()
	return se, parser.MergeFaults(data, err, se.Check())
}

// Default returns the settings' defaults. They are defined nowhere else.
func Default() Settings {
	return Settings{
		CallerAddress: "127.0.0.1:8080",
		PeerAddress:   "127.0.0.1:8081",
		AdminAddress:  "127.0.0.1:8082",
		Platform:      "127.0.0.1:8090",
		Limits: Limits{
			MaxBodyBytes: 16 << 20, MaxHeaderBytes: 64 << 10, MaxConnections: 10_000,
			MaxInFlightBytes: 512 << 20, WriteTimeoutMs: 30_000, DrainMs: 1000,
		},
		LogLevel: "info",
	}
}

// fillDerived fills empty fields whose default is the value of another field.
func (se *Settings) fillDerived() {
	if se.PeerAdvertise == "" {
		se.PeerAdvertise = se.PeerAddress
	}
}
