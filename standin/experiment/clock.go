package experiment

import (
	"container/heap"
	"time"
)

// timeline runs actions in the order of their simulated times.
type timeline struct {
	now   time.Time
	queue actions
	count int
}

type action struct {
	at    time.Time
	order int // of scheduling, for actions at the same time
	run   func()
}

type actions []action

func (a actions) Len() int { return len(a) }
func (a actions) Less(i, j int) bool {
	if !a[i].at.Equal(a[j].at) {
		return a[i].at.Before(a[j].at)
	}
	return a[i].order < a[j].order
}
func (a actions) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *actions) Push(x any)   { *a = append(*a, x.(action)) }
func (a *actions) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// after runs an action when the given time has passed.
func (t *timeline) after(d time.Duration, run func()) {
	t.count++
	heap.Push(&t.queue, action{at: t.now.Add(max(0, d)), order: t.count, run: run})
}

// runUntil runs the actions up to a time.
func (t *timeline) runUntil(end time.Time) {
	for len(t.queue) > 0 && !t.queue[0].at.After(end) {
		next := heap.Pop(&t.queue).(action)
		t.now = next.at
		next.run()
	}
	t.now = end
}
