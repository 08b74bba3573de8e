package link

import (
	"cmp"
	"slices"
	"time"
)

// sendOrder returns long responses in the order in which the link sends them, starting at the given time.
//
// Each response is due at its target. If not all can be sent by then, the longest ones give way until the others can, so that as many as possible are
// in time and a long response does not hold up several shorter ones (the algorithm of Moore and Hodgson). A response that gives way is due at its
// deadline: it goes before responses that arrive later as soon as it would otherwise be useless. Last comes what is useless when it arrives.
func sendOrder(start time.Duration, queue []*Reservation, transmitTime func(bytes int64) time.Duration) []*Reservation {
	if len(queue) < 2 {
		return queue
	}
	for _, r := range queue {
		r.due = r.target
	}
	_, late := separate(start, queue, transmitTime)
	for _, r := range late {
		r.due = r.deadline
	}
	if len(late) == 0 {
		return byDue(queue)
	}
	fits, rest := separate(start, queue, transmitTime)
	return append(fits, byDue(rest)...)
}

// byDue returns the responses in the order of their due times.
func byDue(queue []*Reservation) []*Reservation {
	return slices.SortedStableFunc(slices.Values(queue), func(a, b *Reservation) int { return cmp.Compare(a.due, b.due) })
}

// separate splits responses into a largest set of which each is sent by its due time, in the order of the due times, and the rest.
func separate(start time.Duration, queue []*Reservation, transmitTime func(int64) time.Duration) (fits, rest []*Reservation) {
	fits = make([]*Reservation, 0, len(queue))
	end := start
	for _, r := range byDue(queue) {
		fits = append(fits, r)
		end += transmitTime(r.remaining)
		if end <= r.due {
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
	return fits, rest
}
