package membership

import (
	"cmp"
	"math"
	"time"
)

// Timing holds the times and bounds of the protocol. A zero field means its default.
type Timing struct {
	Tick                time.Duration // period of the system; default 50 ms
	ProbeInterval       time.Duration // one probe is sent per interval; default 1 s
	ProbeTimeout        time.Duration // for a direct probe, and again for the indirect ones; default 300 ms
	IndirectProbes      int           // members asked for an indirect probe; default 3
	SuspicionFactor     time.Duration // suspicion lasts this times log10 of the fleet size; default 800 ms
	SuspicionMinimum    time.Duration // least suspicion time; default 1 s
	PartitionHold       time.Duration // how long members behind a partition stay suspect; default 10 min
	Retention           time.Duration // how long dead and left members are remembered; default 10 min
	GossipInterval      time.Duration // while there are changes to spread; default 100 ms
	GossipFanout        int           // members that get each gossip round; default 3
	RetransmitFactor    int           // a change is sent this times log10 of the fleet size, rounded up; default 4
	MaxDeltaBytes       int           // deltas in one message; default 1,400
	SyncInterval        time.Duration // least time between two anti-entropy exchanges; default 5 s
	ReconnectInterval   time.Duration // between probes of a dead member or unknown seed; default 10 s
	RejoinWindow        time.Duration // how long a member that died or left is expected back; default 0
	RejoinProbeInterval time.Duration // between probes of such members; default 1 s
	JoinTimeout         time.Duration // for the answer to a join; default 3 s
	JoinStagger         time.Duration // without an answer, until another member is asked as well; default JoinTimeout
	JoinsPerSecond      int           // joins served; others are told when to retry; default 16
	JoinBackoff         time.Duration // first pause after a failed join; default 500 ms
	JoinBackoffMaximum  time.Duration // default 10 s
}

// RegionalTiming is for fleets of one region, whose round trips take a few milliseconds, and whose machines can all start at once. Changes are
// spread with more and larger messages than by default, so that such a start is over in a fraction of a second.
var RegionalTiming = Timing{
	JoinTimeout: 600 * time.Millisecond, JoinStagger: 150 * time.Millisecond, JoinBackoffMaximum: 2 * time.Second, JoinsPerSecond: 200,
	RejoinWindow: 30 * time.Second, RejoinProbeInterval: time.Second,
	MaxDeltaBytes: 2800, RetransmitFactor: 6,
}

func (t Timing) withDefaults() Timing {
	t.Tick = cmp.Or(t.Tick, 50*time.Millisecond)
	t.ProbeInterval = cmp.Or(t.ProbeInterval, time.Second)
	t.ProbeTimeout = cmp.Or(t.ProbeTimeout, 300*time.Millisecond)
	t.IndirectProbes = cmp.Or(t.IndirectProbes, 3)
	t.SuspicionFactor = cmp.Or(t.SuspicionFactor, 800*time.Millisecond)
	t.SuspicionMinimum = cmp.Or(t.SuspicionMinimum, time.Second)
	t.PartitionHold = cmp.Or(t.PartitionHold, 10*time.Minute)
	t.Retention = cmp.Or(t.Retention, 10*time.Minute)
	t.GossipInterval = cmp.Or(t.GossipInterval, 100*time.Millisecond)
	t.GossipFanout = cmp.Or(t.GossipFanout, 3)
	t.RetransmitFactor = cmp.Or(t.RetransmitFactor, 4)
	t.MaxDeltaBytes = cmp.Or(t.MaxDeltaBytes, 1400)
	t.SyncInterval = cmp.Or(t.SyncInterval, 5*time.Second)
	t.ReconnectInterval = cmp.Or(t.ReconnectInterval, 10*time.Second)
	t.RejoinProbeInterval = cmp.Or(t.RejoinProbeInterval, time.Second)
	t.JoinTimeout = cmp.Or(t.JoinTimeout, 3*time.Second)
	t.JoinStagger = cmp.Or(t.JoinStagger, t.JoinTimeout)
	t.JoinsPerSecond = cmp.Or(t.JoinsPerSecond, 16)
	t.JoinBackoff = cmp.Or(t.JoinBackoff, 500*time.Millisecond)
	t.JoinBackoffMaximum = cmp.Or(t.JoinBackoffMaximum, 10*time.Second)
	return t
}

// suspicion is how long a member stays suspect in a fleet of n before it is declared dead. It grows with log n because
// the spreading of the suspicion and of its refutation does.
func (t Timing) suspicion(n int) time.Duration {
	scaled := time.Duration(float64(t.SuspicionFactor) * math.Log10(float64(n+1)))
	return max(scaled, t.SuspicionMinimum)
}

// retransmissions is how often a change is sent in a fleet of n.
func (t Timing) retransmissions(n int) int {
	return t.RetransmitFactor * int(math.Ceil(math.Log10(float64(n+1))))
}
