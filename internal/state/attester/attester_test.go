package attester_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/state/attester"
)

var start = time.Unix(1000, 0)

// TestProofOfRead checks that only a read that reached its topic's end proves anything.
func TestProofOfRead(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		from := rapid.Int64Range(0, 100).Draw(rt, "from")
		next := rapid.Int64Range(from, 200).Draw(rt, "next")
		end := rapid.Int64Range(next, 300).Draw(rt, "end")
		rd := attester.Read{Topic: "t", From: ml.Position{Offset: ml.Offset(from)}, Next: ml.Position{Offset: ml.Offset(next)}, End: ml.Offset(end), Current: start}
		proof := rd.Proof()
		if isProof := proof != (attester.Proof{}); isProof != (next == end) {
			rt.Fatalf("from %d to %d of %d: is a proof: %t", from, next, end, isProof)
		}
		if next == end && (proof.Topic() != "t" || !proof.At().Equal(start)) {
			rt.Fatalf("proof of topic %s at %s", proof.Topic(), proof.At())
		}
	})
}

// TestProofOfNothing checks that answers without contents prove nothing.
func TestProofOfNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect((&attester.Read{}).Proof()).To(gomega.BeZero())
	g.Expect((&attester.Listing{}).Proof()).To(gomega.BeZero())
}

// TestProofOfListing checks that a listing proves nothing before its last page.
func TestProofOfListing(t *testing.T) {
	g := gomega.NewWithT(t)
	li := attester.NewListing("t", ml.Position{Offset: 9}, start)
	g.Expect(li.Proof()).To(gomega.BeZero())
	li.AddPage([]ml.KeyRecord{{Key: "a"}}, false)
	g.Expect(li.Proof()).To(gomega.BeZero())
	li.AddPage([]ml.KeyRecord{{Key: "b"}}, true)
	g.Expect(li.Proof().At()).To(gomega.Equal(start))
	g.Expect(li.Records()).To(gomega.HaveLen(2))
}

// TestDropSuperseded checks that the newest record of each key stays, in order.
func TestDropSuperseded(t *testing.T) {
	g := gomega.NewWithT(t)
	rd := attester.Read{Records: []ml.KeyRecord{{Key: "a", Offset: 1}, {Key: "b", Offset: 2}, {Key: "a", Offset: 3}}, Next: ml.Position{Offset: 4}}
	rd.DropSuperseded()
	g.Expect(rd.Records).To(gomega.Equal([]ml.KeyRecord{{Key: "b", Offset: 2}, {Key: "a", Offset: 3}}))
}
