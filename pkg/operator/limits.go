package operator

import (
	"time"

	"github.com/laburnumcleat/laburnumcleat/pkg/config"
)

// Limits bound what requests may cost.
type Limits struct {
	ValidateBodyBytes     int64         // of a validation, default 4 MiB
	BodyTimeout           time.Duration // to receive the body of a request, default 10 s
	PublishTimeout        time.Duration // for a publish, default 20 s
	ConcurrentPublishes   int           // publishes in progress, default 32
	ConcurrentValidations int           // validations in progress, default 2
	ValidateRecords       int           // records in one validation, default 1,000
}

const (
	defaultBodyBytes       = 4 << 20
	defaultBodyTime        = 10 * time.Second
	defaultPublishTime     = 20 * time.Second
	defaultPublishAtOnce   = 32
	defaultValidateAtOnce  = 2
	defaultValidateRecords = 1000

	// recordEnvelopeBytes is the allowance for the fields of a record beside its payload.
	recordEnvelopeBytes = 4 << 10
	maxRecordBodyBytes  = config.MaxRecordBytes + recordEnvelopeBytes
	maxSmallBodyBytes   = 4 << 10 // announcements and removals

	writeTime = 15 * time.Second // to send a response after the longest handler
)

func (l Limits) withDefaults() Limits {
	if l.ValidateBodyBytes == 0 {
		l.ValidateBodyBytes = defaultBodyBytes
	}
	if l.BodyTimeout == 0 {
		l.BodyTimeout = defaultBodyTime
	}
	if l.PublishTimeout == 0 {
		l.PublishTimeout = defaultPublishTime
	}
	if l.ConcurrentPublishes == 0 {
		l.ConcurrentPublishes = defaultPublishAtOnce
	}
	if l.ConcurrentValidations == 0 {
		l.ConcurrentValidations = defaultValidateAtOnce
	}
	if l.ValidateRecords == 0 {
		l.ValidateRecords = defaultValidateRecords
	}
	return l
}
