package sidecar

import (
	"strconv"
	"time"

	"github.com/laburnumcleat/laburnumcleat/pkg/hop"
	"github.com/laburnumcleat/laburnumcleat/pkg/placement"
	"github.com/laburnumcleat/laburnumcleat/pkg/quarantine"
)

// updateVerdict determines what may be done with a request, and returns how long it stays blocked.
func (o *outbound) updateVerdict(q *request) (left time.Duration) {
	q.verdict = quarantine.Clear
	if o.local.suspects.IsEmpty() {
		return 0
	}
	q.verdict, left = o.local.suspects.Verdict(time.Now(), o.fingerprint(q))
	return left
}

// fingerprint returns the fingerprint of a request.
func (o *outbound) fingerprint(q *request) quarantine.Fingerprint {
	if q.fingerprint == nil {
		fingerprint := fingerprintOf(o.service(), q.out)
		q.fingerprint = &fingerprint
	}
	return *q.fingerprint
}

// recordAnswer clears a suspect that a backend server has answered. The node beside that server may not have known it as a suspect, and what it tells
// the others may not reach this node.
func (o *outbound) recordAnswer(q *request, response *hop.Response) {
	if showsNoCrash(response) && !o.local.suspects.IsEmpty() {
		o.local.clear(o.fingerprint(q), false)
	}
}

// refuseIfBlocked returns a refusal of a request that crashes backend servers, or nil.
func (o *outbound) refuseIfBlocked(q *request) *result {
	left := o.updateVerdict(q)
	if q.verdict != quarantine.Blocked {
		return nil
	}
	res := refuse(0, reasonRequestBlocked)
	res.retryAfter = left
	return res
}

// candidates returns the endpoints that the request may be sent to. All attempts of a suspect go to the same one, where they run one after the
// other: two that ran on different backend servers could crash both. It changes from turn to turn, since that one may not answer at all.
func (o *outbound) candidates(q *request, excluded func(*placement.Endpoint) bool) []placement.Endpoint {
	endpoints := o.endpoints(q.service)
	if q.verdict == quarantine.Suspect {
		key := q.fingerprint.String()
		if turn := o.local.suspects.Turn(time.Now(), *q.fingerprint); turn > 0 {
			key += "/" + strconv.FormatInt(turn, 10) // builds that know no turns stay with the first one
		}
		return placement.Rendezvous(endpoints, key, excluded)
	}
	return endpoints
}
