package burner

import (
	"cmp"
	"slices"
	"time"
)

// seriesTally holds the counts of one series in a bucket.
type seriesTally struct {
	id seriesID
	tally
}

// bucket holds the counts of a completed span of time.
type bucket struct {
	start   time.Time
	span    time.Duration
	tallies []seriesTally // sorted by id
}

func newBucket(start time.Time, counts map[seriesID]tally) bucket {
	bk := bucket{start: start, span: fineSpan, tallies: make([]seriesTally, 0, len(counts))}
	for id, ta := range counts {
		bk.tallies = append(bk.tallies, seriesTally{id, ta})
	}
	slices.SortFunc(bk.tallies, func(a, b seriesTally) int { return cmp.Compare(a.id, b.id) })
	return bk
}

// compact merges old fine buckets into coarse ones and drops the oldest.
func compact(now time.Time, buckets []bucket) []bucket {
	out := make([]bucket, 0, len(buckets)+1)
	for _, bk := range buckets {
		switch {
		case now.Sub(bk.start) > Windows[len(Windows)-1]:
		case now.Sub(bk.start) > fineRetention && bk.span == fineSpan:
			out = merge(out, bk)
		default:
			out = append(out, bk)
		}
	}
	return out
}

// merge adds a fine bucket to the coarse one that covers it.
func merge(out []bucket, fine bucket) []bucket {
	start := fine.start.Truncate(coarseSpan)
	n := len(out)
	if n == 0 || out[n-1].span != coarseSpan || !out[n-1].start.Equal(start) {
		return append(out, bucket{start: start, span: coarseSpan, tallies: fine.tallies})
	}
	out[n-1].tallies = addTallies(out[n-1].tallies, fine.tallies)
	return out
}

// addTallies adds up two lists that are sorted by id.
func addTallies(a, b []seriesTally) []seriesTally {
	out := make([]seriesTally, 0, max(len(a), len(b)))
	for len(a) > 0 && len(b) > 0 {
		switch {
		case a[0].id < b[0].id:
			out, a = append(out, a[0]), a[1:]
		case a[0].id > b[0].id:
			out, b = append(out, b[0]), b[1:]
		default:
			sum := tally{a[0].good + b[0].good, a[0].total + b[0].total}
			out, a, b = append(out, seriesTally{a[0].id, sum}), a[1:], b[1:]
		}
	}
	return append(append(out, a...), b...)
}
