package bounder_test

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/mulberrylever/mulberrylever/internal/state/bounder"
)

// TestSums checks that what messages hold beyond their free bytes never exceeds the bounds of all
// and of one sender, that a short message is never refused, and that nothing stays counted.
func TestSums(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		bo := &bounder.Bounder{MaxBytes: 1000, FreeBytes: 50}
		messages, held := map[int]*bounder.Message{}, map[int]int64{}
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			id := rapid.IntRange(0, 7).Draw(rt, "message")
			if messages[id] == nil {
				messages[id] = bo.Open(fmt.Sprint("sender ", id%3))
			}
			switch n := rapid.IntRange(0, 400).Draw(rt, "bytes"); {
			case rapid.IntRange(0, 5).Draw(rt, "end") == 0:
				messages[id].Close()
				held[id] = 0
			case messages[id].Grow(n) == nil:
				held[id] += int64(n)
			case held[id]+int64(n) <= bo.FreeBytes:
				rt.Fatalf("a message of %d bytes is refused", held[id]+int64(n))
			}
			sum, senders := int64(0), [3]int64{}
			for id, n := range held {
				sum += max(n-bo.FreeBytes, 0)
				senders[id%3] += max(n-bo.FreeBytes, 0)
			}
			if sum != bo.Bytes() || sum > bo.MaxBytes || max(senders[0], senders[1], senders[2]) > bo.MaxBytes/2 {
				rt.Fatalf("%d bytes are held, %d counted, by sender %v", sum, bo.Bytes(), senders)
			}
		}
		for _, me := range messages {
			me.Close()
			me.Close()
		}
		if bo.Bytes() != 0 {
			rt.Fatalf("%d bytes stay counted", bo.Bytes())
		}
	})
}

// TestReadAll checks what is read, whole, up to a number of bytes, and up to the bound.
func TestReadAll(t *testing.T) {
	g := gomega.NewWithT(t)
	bo := &bounder.Bounder{MaxBytes: 100_000, FreeBytes: 4096}
	long := bytes.Repeat([]byte("0123456789"), 10_000)
	for _, n := range []int{0, 1, 2047, 2048, 2049, 30_000} {
		me := bo.Open("s")
		data, err := bounder.ReadAll(bytes.NewReader(long[:n]), me, 40_000)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(data).To(gomega.Equal(long[:n]))
		data, err = bounder.ReadAll(bytes.NewReader(long), noBound, n)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(data).To(gomega.Equal(long[:n]))
		me.Close()
	}
	me := bo.Open("s")
	defer me.Close()
	data, err := bounder.ReadAll(bytes.NewReader(long), me, len(long))
	g.Expect(errors.Is(err, bounder.ErrFull)).To(gomega.BeTrue())
	g.Expect(bytes.HasPrefix(long, data)).To(gomega.BeTrue())
	g.Expect(len(data)).To(gomega.BeNumerically(">", 20_000))
	_, err = bounder.ReadAll(io.MultiReader(bytes.NewReader(long[:10]), failingReader{}), noBound, 100)
	g.Expect(err).To(gomega.MatchError(io.ErrUnexpectedEOF))
}

// noBound is a message without a bound.
var noBound = (*bounder.Bounder)(nil).Open("")

// failingReader fails.
type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }
