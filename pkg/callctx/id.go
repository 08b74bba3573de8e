package callctx

import (
	"time"

	"github.com/google/uuid"

	"github.com/laburnumcleat/laburnumcleat/pkg/apierror"
)

// idLength is the length of the canonical text form. Other forms that uuid.Parse accepts are rejected, so that each id
// has exactly one text form.
const idLength = 36

// NewRequestID returns a new UUIDv7 in canonical text form. It panics if the system's random source fails.
func NewRequestID() string {
	return uuid.Must(uuid.NewV7()).String()
}

// IDTime returns the creation time of a UUIDv7, with a resolution of 1 ms. It returns an error of kind Invalid for
// anything but a UUIDv7 in canonical text form.
func IDTime(id string) (time.Time, error) {
	if len(id) != idLength {
		return time.Time{}, errInvalidID()
	}
	parsed, err := uuid.Parse(id)
	if err != nil || parsed.Version() != 7 || parsed.Variant() != uuid.RFC4122 || parsed.String() != id {
		return time.Time{}, errInvalidID()
	}
	var ms int64
	for _, b := range parsed[:6] {
		ms = ms<<8 | int64(b)
	}
	return time.UnixMilli(ms), nil
}

func errInvalidID() error {
	return apierror.InvalidField(HeaderRequestID, "not a UUIDv7", "send a new UUIDv7 in lower-case text form")
}
