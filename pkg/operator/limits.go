package operator

import (
	"time"

	"github.com/laburnumcleat/laburnumcleat/pkg/config"
)

// Limits bound what requests may cost.
type Limits struct {
	BodyBytes       int64         // of a validation, default 4 MiB
	BodyTime        time.Duration // to receive the body of a request, default 10 s
	PublishTime     time.Duration // for a publish, default 20 s
	PublishAtOnce   int           // publishes in progress, default 32
	ValidateAtOnce  int           // validations in progress, default 2
	ValidateRecords int           // records in one validation, default 1,000
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
	if l.BodyBytes == 0 {
		l.BodyBytes = defaultBodyBytes
	}
	if l.BodyTime == 0 {
		l.BodyTime = defaultBodyTime
	}
	if l.PublishTime == 0 {
		l.PublishTime = defaultPublishTime
	}
	if l.PublishAtOnce == 0 {
		l.PublishAtOnce = defaultPublishAtOnce
	}
	if l.ValidateAtOnce == 0 {
		l.ValidateAtOnce = defaultValidateAtOnce
	}
	if l.ValidateRecords == 0 {
		l.ValidateRecords = defaultValidateRecords
	}
	return l
}
