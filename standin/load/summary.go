package load

import (
	"fmt"
	"math"
	"sort"
	"strings"

	"github.com/laburnumcleat/laburnumcleat/pkg/callctx"
)

// RankSummary counts the calls of one rank. Every offered call is counted in exactly one of InTime, Late, Refused,
// Unknown, Failed and Dropped.
type RankSummary struct {
	Rank    string  `json:"rank"`
	Offered int     `json:"offered"`
	InTime  int     `json:"in_time"`
	Late    int     `json:"late"`    // answered after the target
	Refused int     `json:"refused"` // "not-run"
	Unknown int     `json:"unknown"`
	Failed  int     `json:"failed"`  // answered with a status of 400 or more, cut or foreign
	Dropped int     `json:"dropped"` // not sent by the generator
	P50MS   float64 `json:"p50_ms"`  // of the answered calls, 0 if there is none
	P99MS   float64 `json:"p99_ms"`
	Share   float64 `json:"share"` // InTime / Offered
}

// String is one line of key=value pairs.
func (r RankSummary) String() string {
	return fmt.Sprintf("rank=%s offered=%d in_time=%d late=%d refused=%d unknown=%d failed=%d dropped=%d p50_ms=%.2f p99_ms=%.2f share=%.4f",
		r.Rank, r.Offered, r.InTime, r.Late, r.Refused, r.Unknown, r.Failed, r.Dropped, r.P50MS, r.P99MS, r.Share)
}

// Summary holds the ranks in order of name.
type Summary []RankSummary

// String has one line for each rank.
func (s Summary) String() string {
	lines := make([]string, len(s))
	for i := range s {
		lines[i] = s[i].String()
	}
	return strings.Join(lines, "\n")
}

// Summarise counts records for each rank.
func Summarise(records []Record) Summary {
	byRank := make(map[string]*RankSummary)
	latencies := make(map[string][]float64)
	for i := range records {
		r := &records[i]
		rank := byRank[r.Rank]
		if rank == nil {
			rank = &RankSummary{Rank: r.Rank}
			byRank[r.Rank] = rank
		}
		rank.count(r)
		if r.Outcome == callctx.Answered {
			latencies[r.Rank] = append(latencies[r.Rank], r.LatencyMS)
		}
	}
	summary := make(Summary, 0, len(byRank))
	for name, rank := range byRank {
		rank.P50MS, rank.P99MS = Percentile(latencies[name], 50), Percentile(latencies[name], 99)
		rank.Share = float64(rank.InTime) / float64(rank.Offered)
		summary = append(summary, *rank)
	}
	sort.Slice(summary, func(i, j int) bool { return summary[i].Rank < summary[j].Rank })
	return summary
}

func (s *RankSummary) count(r *Record) {
	s.Offered++
	switch {
	case r.Outcome == Dropped:
		s.Dropped++
	case r.Outcome == callctx.NotRun:
		s.Refused++
	case r.Outcome != callctx.Answered:
		s.Unknown++
	case r.Foreign || r.Truncated || failed(r.Status):
		s.Failed++
	case r.InTime:
		s.InTime++
	default:
		s.Late++
	}
}

// Percentile returns the nearest-rank p-th percentile (0 to 100) of values, 0 if there are none. It sorts values.
func Percentile(values []float64, p float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sort.Float64s(values)
	index := int(math.Ceil(p/100*float64(len(values)))) - 1
	return values[max(index, 0)]
}
