package link

import (
	"cmp"
	"slices"
	"time"
)

// sendOrder returns long responses in the order in which the link sends them, starting at the given time.
//
// First come those that can be in time, by their targets. If not all can, the longest ones give way until the others can, so that as many as possible are
// in time and a long response does not hold up several shorter ones (the algorithm of Moore and Hodgson). What cannot be in time follows by the
// same rule for its deadline, and last what is useless when it arrives.
func sendOrder(start time.Duration, queue []*Reservation, transmitTime func(bytes int64) time.Duration) []*Reservation {
	if len(queue) < 2 {
		return queue
	}
	byTarget := func(r *Reservation) time.Duration { return r.target }
	byDeadline := func(r *Reservation) time.Duration { return r.deadline }
	inTime, late, end := separate(start, queue, byTarget, transmitTime)
	late, useless, _ := separate(end, late, byDeadline, transmitTime)
	return append(append(inTime, late...), useless...)
}

// separate splits responses into a largest set of which each is sent by its due time, in the order of the due times, and the rest. end is when those
// of the set have been sent.
func separate(start time.Duration, queue []*Reservation, due func(*Reservation) time.Duration, transmitTime func(int64) time.Duration) (fits, rest []*Reservation, end time.Duration) {
	sorted := slices.SortedStableFunc(slices.Values(queue), func(a, b *Reservation) int { return cmp.Compare(due(a), due(b)) })
	fits, end = make([]*Reservation, 0, len(queue)), start
	for _, r := range sorted {
		fits = append(fits, r)
		end += transmitTime(r.remaining)
		if end <= due(r) {
			continue
		}
		longest := 0
		for i, other := range fits {
			if other.remaining >= fits[longest].remaining {
				longest = i
			}
		}
		end -= transmitTime(fits[longest].remaining)
		rest = append(rest, fits[longest])
		fits = slices.Delete(fits, longest, longest+1)
	}
	return fits, rest, end
}
