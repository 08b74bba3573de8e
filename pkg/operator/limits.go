package operator

import (
	"time"

	"github.com/laburnumcleat/laburnumcleat/pkg/config"
)

// Limits bound the resources that requests may use. Zero values select the defaults.
type Limits struct {
	ValidateBodyBytes     int64         // body of a validation, default 4 MiB
	BodyTimeout           time.Duration // to receive a request body, default 10 s
	PublishTimeout        time.Duration // for a publish, default 20 s
	ConcurrentPublishes   int           // concurrent publishes, default 32
	ConcurrentValidations int           // concurrent validations, default 2
	ValidateRecords       int           // records in one validation, default 1,000
}

const (
	defaultValidateBodyBytes     = 4 << 20
	defaultBodyTimeout           = 10 * time.Second
	defaultPublishTimeout        = 20 * time.Second
	defaultConcurrentPublishes   = 32
	defaultConcurrentValidations = 2
	defaultValidateRecords       = 1000

	// recordEnvelopeBytes is the allowance for the fields of a record other than its payload.
	recordEnvelopeBytes = 4 << 10
	maxRecordBodyBytes  = config.MaxRecordBytes + recordEnvelopeBytes
	maxSmallBodyBytes   = 4 << 10 // announcements and removals

	writeTimeout = 15 * time.Second // to send a response after the slowest handler
)

func (l Limits) withDefaults() Limits {
	if l.ValidateBodyBytes == 0 {
		l.ValidateBodyBytes = defaultValidateBodyBytes
	}
	if l.BodyTimeout == 0 {
		l.BodyTimeout = defaultBodyTimeout
	}
	if l.PublishTimeout == 0 {
		l.PublishTimeout = defaultPublishTimeout
	}
	if l.ConcurrentPublishes == 0 {
		l.ConcurrentPublishes = defaultConcurrentPublishes
	}
	if l.ConcurrentValidations == 0 {
		l.ConcurrentValidations = defaultConcurrentValidations
	}
	if l.ValidateRecords == 0 {
		l.ValidateRecords = defaultValidateRecords
	}
	return l
}
