// Package loader reads the settings of one entry VM's process: its addresses,
// failure domain, name, the platform's address, TLS files and access keys.
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
	CAFile   string `json:"caFile"` // who may connect as a peer
}

// AccessKey lets a team in. A team may have several, so that keys can be
// rotated.
type AccessKey struct {
	Key  string    `json:"key"`
	Team ml.TeamID `json:"team"`
}

// Limits bounds what callers may use of the process.
type Limits struct {
	MaxBodyBytes     int64 `json:"maxBodyBytes"`
	MaxHeaderBytes   int   `json:"maxHeaderBytes"`
	MaxConnections   int   `json:"maxConnections"`
	MaxInFlightBytes int64 `json:"maxInFlightBytes"` // bodies held at once
	WriteTimeoutMs   int64 `json:"writeTimeoutMs"`   // a caller that reads nothing for this long is cut off
	DrainMs          int64 `json:"drainMs"`          // not ready, but still serving, before a stop
}

// Settings are the settings of one entry VM.
type Settings struct {
	VM              ml.VMID     `json:"vm"`
	Domain          ml.DomainID `json:"domain"`
	Cell            ml.CellID   `json:"cell"`          // part of a large failure domain; empty when it has one
	CallerAddress   string      `json:"callerAddress"` // host:port for callers
	PeerAddress     string      `json:"peerAddress"`   // host:port for other entry VMs
	PeerAdvertise   string      `json:"peerAdvertise"` // host:port told to other entry VMs; peerAddress when empty
	AdminAddress    string      `json:"adminAddress"`  // host:port for operators
	OutgoingIP      string      `json:"outgoingIp"`    // IP number that connections are made from; any when empty
	Platform        string      `json:"platform"`      // host:port of the platform's services
	Neighbours      []string    `json:"neighbours"`    // peer addresses asked when the platform is down
	CallerTLS       TLS         `json:"callerTls"`
	PeerTLS         TLS         `json:"peerTls"`
	AccessKeys      []AccessKey `json:"accessKeys"`
	AdminKey        string      `json:"adminKey"` // operators' bearer key; empty for none
	Limits          Limits      `json:"limits"`
	LogLevel        string      `json:"logLevel"`
	FatalViolations bool        `json:"fatalViolations"` // end the process when an invariant is violated
}

// Load reads, fills and checks the settings file at path.
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

// Parse reads, fills and checks settings.
func Parse(data []byte) (Settings, error) {
	se := Default()
	err := parser.Parse(data, &se)
	se.fill()
	return se, parser.Join(data, err, se.Check())
}

// Default returns the settings' defaults. This is the only place where they
// stand.
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

// fill fills the fields whose default is another field.
func (se *Settings) fill() {
	if se.PeerAdvertise == "" {
		se.PeerAdvertise = se.PeerAddress
	}
}
