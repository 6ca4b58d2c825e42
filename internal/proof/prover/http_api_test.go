package prover_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"io"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/mulberrylever/mulberrylever/internal/setting/loader"
)

// makeTLS writes a self-signed certificate for 127.0.0.1 that is also its own
// CA.
func makeTLS(dir string) loader.TLS {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	tmpl := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.ParseIP("127.0.0.1")},
		KeyUsage:    x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	cert, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, &key.PublicKey, key)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	der, err := x509.MarshalECPrivateKey(key)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	writePEM := func(name, blockType string, data []byte) string {
		path := filepath.Join(dir, name)
		gomega.Expect(os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: blockType, Bytes: data}), 0o600)).To(gomega.Succeed())
		return path
	}
	certFile := writePEM("cert.pem", "CERTIFICATE", cert)
	return loader.TLS{CertFile: certFile, KeyFile: writePEM("key.pem", "EC PRIVATE KEY", der), CAFile: certFile}
}

// caller sends single requests to one entry VM.
type caller struct {
	url    string
	client *http.Client
}

// send sends a request with the access key of team a, and with headers given as
// name and value in turn. It returns the status, the body and Retry-After.
func (ca caller) send(method, path, body string, headers ...string) (int, string, string) {
	rq, err := http.NewRequest(method, ca.url+path, strings.NewReader(body))
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	rq.Header.Set("Authorization", "Bearer key-of-a")
	for i := 0; i < len(headers); i += 2 {
		rq.Header.Set(headers[i], headers[i+1])
	}
	rs, err := ca.client.Do(rq)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	defer rs.Body.Close()
	text, err := io.ReadAll(rs.Body)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return rs.StatusCode, string(text), rs.Header.Get("Retry-After")
}

var _ = ginkgo.Describe("the HTTP API", func() {
	ginkgo.It("serves requests over TLS, and reports the invalid field, its value and a correct notRun in errors", func() {
		fl := startFleet(fleetSpec{domains: 1, entries: 2, engines: 1, services: 1, useTLS: true}, "")
		defer fl.stopAll()
		ca := caller{
			url:    "https://" + fl.plan.Targets[0].Address,
			client: &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{InsecureSkipVerify: true}}},
		}
		expiredKey := uuid.UUID{0, 0, 0, 0, 0, 1, 0x70, 0, 0x80}
		for _, check := range []struct {
			method, path, body string
			headers            []string
			status             int
			want               string
		}{
			{"POST", "/v1/completions", `{"model":"m","prompt":"hello","max_tokens":3}`, nil, 200, `"completion_tokens":3`},
			{"POST", "/v1/chat/completions", `{"model":"m","messages":[{"role":"user","content":"hi"}],"max_tokens":3}`, nil, 200, `"role":"assistant"`},
			{"POST", "/v1/completions", `{"model":"m","prompt":"hello","max_tokens":2,"stream":true}`, nil, 200, "data: [DONE]"},
			{"GET", "/v1/models", "", nil, 200, `"id":"m"`},
			{"POST", "/v1/completions", `{"model":"m"`, nil, 400, `"notRun":true`},
			{"POST", "/v1/completions", `{"model":"m","prompt":"x","max_tokens":-4}`, nil, 400, `max_tokens: must be more than 0 (got \"-4\")`},
			{"POST", "/v1/completions", `{"model":"m","prompt":"x","n":2}`, nil, 400, `n: only one answer`},
			{"POST", "/v1/completions", `{"model":"m","prompt":"x"}`, []string{"Mulberrylever-Timeout-Ms", "soon"}, 400, `(got \"soon\")`},
			{"POST", "/v1/completions", `{"model":"m","prompt":"x"}`, []string{"Last-Event-ID", "7"}, 400, "ENDPOINT/GRANT/POSITION"},
			{"POST", "/v1/completions", `{"model":"m","prompt":"x"}`, []string{"Authorization", "Bearer nobody"}, 401, "unauthorized"},
			{"POST", "/v1/completions", `{"model":"other","prompt":"x"}`, nil, 404, `no engine serves model \"other\"`},
			{"GET", "/v2/nothing", "", nil, 404, "no such path"},
			{"GET", "/services/other/x", "", nil, 404, `no endpoint serves \"other\"`},
			{"POST", "/v1/completions", `{"model":"m","prompt":"` + strings.Repeat("x", 17<<20) + `"}`, nil, 413, "tooLarge"},
			{"POST", "/services/bookings/bookings", "{}", nil, 400, "Idempotency-Key: is required"},
			{"POST", "/services/bookings/bookings", "{}", []string{"Idempotency-Key", "k"}, 201, `"booking":"k"`},
			{"POST", "/services/bookings/bookings", "{}", []string{"Idempotency-Key", "k"}, 201, `"booking":"k"`},
			{"POST", "/services/bookings/bookings", "{1}", []string{"Idempotency-Key", "k"}, 422, "keyReused"},
			{"POST", "/services/bookings/bookings", "{}", []string{"Idempotency-Key", expiredKey.String()}, 410, `"notRun":false`},
			{"GET", "/services/bookings/bookings/9", "", nil, 200, `"id":"9"`},
		} {
			status, body, _ := ca.send(check.method, check.path, check.body, check.headers...)
			gomega.Expect(status).To(gomega.Equal(check.status), "%s %s %.80s: %s", check.method, check.path, check.body, body)
			gomega.Expect(body).To(gomega.ContainSubstring(check.want))
		}
		runs := make(map[string]int)
		gomega.Expect(fl.getJSON(fl.config.VMs.Endpoints[1].Address, "/runs", &runs)).To(gomega.Succeed())
		gomega.Expect(fmt.Sprint(runs)).To(gomega.Equal("map[k:1]"))
	})

	ginkgo.It("times out a slow caller, and does not affect later requests on a keep-alive connection", func() {
		fl := startFleet(fleetSpec{domains: 1, entries: 1, engines: 1, writeTimeout: 300 * time.Millisecond}, "")
		defer fl.stopAll()
		ca := caller{url: "http://" + fl.plan.Targets[0].Address, client: fl.client}
		status, body, _ := ca.send("POST", "/v1/completions", `{"model":"m","prompt":"hello","max_tokens":2,"stream":true}`)
		gomega.Expect(status).To(gomega.Equal(200), body)
		time.Sleep(500 * time.Millisecond)
		status, body, _ = ca.send("GET", "/v1/models", "")
		gomega.Expect(status).To(gomega.Equal(200), body)

		conn, err := net.Dial("tcp", fl.plan.Targets[0].Address)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		defer conn.Close()
		_, err = fmt.Fprint(conn, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer key-of-a\r\nContent-Length: 100\r\n\r\n{")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(conn.SetReadDeadline(time.Now().Add(5 * time.Second))).To(gomega.Succeed())
		response, err := io.ReadAll(conn)
		gomega.Expect(err).NotTo(gomega.HaveOccurred(), "the connection is still open")
		gomega.Expect(string(response)).To(gomega.ContainSubstring("400 Bad Request"))
	})

	ginkgo.It("returns Retry-After and a correct notRun while the log is unavailable", func() {
		fl := startFleet(fleetSpec{domains: 1, entries: 1, services: 1}, "")
		defer fl.stopAll()
		ca := caller{url: "http://" + fl.plan.Targets[0].Address, client: fl.client}
		status, body, _ := ca.send("POST", "/services/bookings/bookings", "{}", "Idempotency-Key", "k1")
		gomega.Expect(status).To(gomega.Equal(201), body)
		settings := filepath.Join(fl.dir, "d1-entry1.json")
		out, code := fl.runCommand("config", "show", "--settings", settings)
		gomega.Expect(code).To(gomega.Equal(0), out)
		fl.kill("platform")
		for _, args := range [][]string{{"status"}, {"config", "show"}, {"domain", "list"}, {"report"}} {
			out, code := fl.runCommand(append(args, "--settings", settings)...)
			gomega.Expect(code).To(gomega.Equal(0), out)
			gomega.Expect(out).To(gomega.ContainSubstring("this is what an entry VM knows"))
		}
		status, body, retryAfter := ca.send("POST", "/services/bookings/bookings", "{}", "Idempotency-Key", "k1")
		gomega.Expect(status).To(gomega.Equal(503), body)
		gomega.Expect(body).To(gomega.ContainSubstring(`"notRun":false`))
		gomega.Expect(retryAfter).To(gomega.Equal("2"))
		status, body, retryAfter = ca.send("POST", "/services/bookings/bookings", "{}", "Idempotency-Key", "k2")
		gomega.Expect(status).To(gomega.Equal(503), body)
		gomega.Expect(body).To(gomega.ContainSubstring(`"type":"logUnavailable"`))
		gomega.Expect(body).To(gomega.ContainSubstring(`"notRun":true`))
		gomega.Expect(retryAfter).To(gomega.Equal("2"))
		status, body, _ = ca.send("GET", "/services/bookings/bookings/9", "")
		gomega.Expect(status).To(gomega.Equal(200), body)
	})
})
