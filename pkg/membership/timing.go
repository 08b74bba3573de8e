package membership

import (
	"cmp"
	"math"
	"time"
)

// Timing holds the intervals, timeouts and limits of the protocol. A zero field selects its default.
type Timing struct {
	Tick                time.Duration // interval between ticks; default 50 ms
	ProbeInterval       time.Duration // between probes; default 1 s
	ProbeTimeout        time.Duration // of a direct probe, and again of the indirect probes; default 300 ms
	IndirectProbes      int           // members that probe indirectly after a direct probe timed out; default 3
	SuspicionFactor     time.Duration // multiplied by log10 of the fleet size; default 800 ms
	SuspicionMinimum    time.Duration // lower limit of the suspicion timeout; default 1 s
	PartitionHold       time.Duration // how long members behind a partition stay suspect; default 10 min
	Retention           time.Duration // how long dead and left members are kept; default 10 min
	GossipInterval      time.Duration // between gossip rounds while changes are queued; default 100 ms
	GossipFanout        int           // local members per gossip round; default 3
	RetransmitFactor    int           // transmissions of a change, multiplied by log10 of the fleet size rounded up; default 4
	MaxDeltaBytes       int           // size limit of the deltas in one message; default 1,400
	SyncInterval        time.Duration // between two anti-entropy exchanges, jittered by 50%; default 5 s
	ReconnectInterval   time.Duration // between probes of dead members, and between joins through unknown seeds; default 10 s
	RejoinWindow        time.Duration // after its end, how long a member is probed for a restart; default 0
	RejoinProbeInterval time.Duration // between probes during the rejoin window; default 1 s
	JoinTimeout         time.Duration // of one join request; default 3 s
	JoinStagger         time.Duration // between join requests to different members without a response; default JoinTimeout
	JoinsPerSecond      int           // joins served per second; others get a retry delay; default 16
	JoinBackoff         time.Duration // initial backoff after a failed join; default 500 ms
	JoinBackoffMaximum  time.Duration // upper limit of the backoff; default 10 s
}

// RegionalTiming is for fleets within one region, with round trips of a few milliseconds, whose VMs may all start at the same time.
// More and larger gossip messages than by default let such a cold start converge within a fraction of a second.
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

// suspicionTimeout returns how long a member stays suspect in a fleet of n before it is declared dead. It grows with log n, as does
// the time to disseminate a suspicion and its refutation.
func (t Timing) suspicionTimeout(n int) time.Duration {
	scaled := time.Duration(float64(t.SuspicionFactor) * math.Log10(float64(n+1)))
	return max(scaled, t.SuspicionMinimum)
}

// retransmitLimit returns the number of transmissions of a change in a fleet of n.
func (t Timing) retransmitLimit(n int) int {
	return t.RetransmitFactor * int(math.Ceil(math.Log10(float64(n+1))))
}
