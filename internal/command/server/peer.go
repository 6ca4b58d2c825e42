package server

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"errors"
	"fmt"
	"os"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/setting/loader"
)

// peerHandler answers calls from other entry VMs.
type peerHandler struct{ se *Server }

// OnHeartbeat implements ml.PeerHandler.
func (ph peerHandler) OnHeartbeat(hb ml.Heartbeat) ml.HeartbeatAck {
	return ph.se.gossiper.OnHeartbeat(hb)
}

// OnReserve implements ml.PeerHandler.
func (ph peerHandler) OnReserve(ctx context.Context, re ml.Reservation) ml.Grant {
	return ph.se.owner.OnReserve(ctx, re)
}

// OnGrantEvents implements ml.PeerHandler.
func (ph peerHandler) OnGrantEvents(events []ml.GrantEvent) { ph.se.owner.OnGrantEvents(events) }

// OnState implements ml.PeerHandler.
func (ph peerHandler) OnState() (ml.NodeState, error) {
	fl := ph.se.follower.FleetSnapshot()
	if fl == nil {
		return ml.NodeState{}, errors.New("this VM has no state yet")
	}
	data, err := json.Marshal(fl)
	if err != nil {
		return ml.NodeState{}, fmt.Errorf("encode state: %w", err)
	}
	return ml.NodeState{Fleet: data, VMs: ph.se.keeper.VMs()}, nil
}

// peerTLS returns the TLS configuration for connections between entry VMs, or
// nil for plain TCP. Both sides must present a certificate signed by the same
// authority.
func peerTLS(tl loader.TLS) (*tls.Config, error) {
	if tl.CertFile == "" {
		return nil, nil //nolint:nilnil // nil is plain TCP
	}
	cert, err := tls.LoadX509KeyPair(tl.CertFile, tl.KeyFile)
	if err != nil {
		return nil, fmt.Errorf("load certificate: %w", err)
	}
	pem, err := os.ReadFile(tl.CAFile)
	if err != nil {
		return nil, fmt.Errorf("read CA file: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("no certificate in CA file %q", tl.CAFile)
	}
	return &tls.Config{
		Certificates: []tls.Certificate{cert}, RootCAs: pool, ClientCAs: pool,
		ClientAuth: tls.RequireAndVerifyClientCert, MinVersion: tls.VersionTLS13,
	}, nil
}
