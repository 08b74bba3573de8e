package retry

const (
	// maxAttempts bounds the nodes that one call is sent to. A refusal takes about 1 ms.
	maxAttempts = 4
	// maxFullRefusals is the number of refusals for lack of capacity after which the remaining nodes are assumed to be full as well.
	maxFullRefusals = 2
)

// Call describes a call to Budget.Attempts.
type Call struct {
	Service     string
	Idempotent  bool
	Returned    bool // its caller has returned after a refusal
	MaxArrivals int  // backend servers that may receive the call; 0: 1
}

// Outcome says what one attempt of a call shows. An attempt that found no free slot and did not queue is not reported.
type Outcome struct {
	Answered   bool // the backend server answered
	MayHaveRun bool // it is unknown whether the backend server executed the call
	Arrived    bool // the backend server received the call
	Full       bool // the node refused the call for lack of capacity
	Nested     bool // a backend server makes the call while it serves another call
}

// Attempts decides whether a call may be sent once more, and accounts for it in the budget. It is not safe for concurrent use.
type Attempts struct {
	budget *Budget
	call   Call

	sent, fullRefusals int
	arrivals           int
	answered           bool
	mayHaveRun         bool
	nested             bool
	reserved           bool // a retry is counted in the budget and not sent yet
}

// Attempts counts the call in the budget and returns the state of its attempts.
func (b *Budget) Attempts(c Call) *Attempts {
	b.CountRequest(c.Service)
	return &Attempts{budget: b, call: c}
}

// Sent returns the number of attempts, without those that found no free slot.
func (a *Attempts) Sent() int { return a.sent }

// Arrivals returns the number of backend servers that received the call.
func (a *Attempts) Arrivals() int { return a.arrivals }

// MayHaveRun reports whether it is unknown of an attempt whether the backend server executed the call.
func (a *Attempts) MayHaveRun() bool { return a.mayHaveRun }

// Allowed reports whether another attempt may be made, apart from the budget.
func (a *Attempts) Allowed() bool {
	switch {
	case a.answered, a.mayHaveRun && !a.call.Idempotent:
		return false
	case a.arrivals > 0 && a.arrivals >= a.call.MaxArrivals:
		return false
	}
	return a.sent < maxAttempts && a.fullRefusals < maxFullRefusals
}

// LastForCapacity reports whether no further node is asked if the next one refuses the call for lack of capacity.
func (a *Attempts) LastForCapacity() bool {
	return a.fullRefusals+1 >= maxFullRefusals || a.sent+1 >= maxAttempts
}

// Reserve counts the next attempt in the budget if it is a retry, or returns false if the budget does not allow one. A reservation whose
// attempt is not reported, for example because the endpoint had no free slot, serves the next Reserve.
func (a *Attempts) Reserve() bool {
	if a.arrivals == 0 {
		return true
	}
	a.reserved = a.reserved || a.budget.AllowRetry(a.call.Service, a.claim())
	return a.reserved
}

func (a *Attempts) claim() Claim {
	switch {
	case a.nested:
		return Nested
	case a.call.Returned:
		return LastAttempt
	}
	return FirstAttempt
}

// Observe records an attempt.
func (a *Attempts) Observe(o Outcome) {
	a.sent++
	a.reserved = false
	a.answered = o.Answered
	a.mayHaveRun = a.mayHaveRun || o.MayHaveRun
	a.nested = a.nested || o.Nested
	if o.Arrived {
		a.arrivals++
	}
	if o.Full {
		a.fullRefusals++
	}
}
