package explain

import (
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"
)

func subjects(events []Event) []string {
	var names []string
	for _, e := range events {
		names = append(names, e.Subject)
	}
	return names
}

// Guards against a record that grows without bound, loses its order when it wraps, or fails when it is absent.
func TestRecorder_KeepsLatestInOrder(t *testing.T) {
	r := NewRecorder(3)
	require.Empty(t, r.Events(""))
	for i := range 5 {
		r.Add(Event{Subject: strconv.Itoa(i), Kind: Refused})
	}
	require.Equal(t, []string{"2", "3", "4"}, subjects(r.Events("")))
	require.Equal(t, []string{"3"}, subjects(r.Events("3")))
	require.Empty(t, r.Events("0"))

	none := NewRecorder(0)
	none.Add(Event{Subject: "a"})
	require.Empty(t, none.Events(""))
	var absent *Recorder
	absent.Add(Event{Subject: "a"})
	require.Empty(t, absent.Events(""))
}
