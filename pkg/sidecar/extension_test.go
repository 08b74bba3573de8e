package sidecar

import (
	"net/http"
	"net/url"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/laburnumcleat/laburnumcleat/pkg/admission"
)

// Guards against optional values that a client or a backend server gets to see, also from a build that does not know them.
func TestExtension_IsDroppedWithTheConnection(t *testing.T) {
	header := http.Header{"Connection": {"keep-alive"}, "X-Other": {"1"}}
	setExtension(header, url.Values{"a": {"b;c"}})
	setExtension(header, url.Values{"a": {"d"}})
	assert.Equal(t, "d", extensionOf(header).Get("a"))
	assert.Equal(t, []string{"keep-alive", headerExtension}, header["Connection"])
	assert.Equal(t, http.Header{"X-Other": {"1"}}, endToEndHeader(header))
}

func TestExtension_Malformed(t *testing.T) {
	assert.Empty(t, extensionOf(http.Header{headerExtension: {"%zz=;"}}).Get("a"))
	assert.Empty(t, extensionOf(http.Header{}).Get("a"))
	header := http.Header{}
	setExtension(header, nil)
	assert.Empty(t, header)
}

// Guards against optional values of a call that change on the way, and against values of a build that sends none or other ones.
func TestCallExtension(t *testing.T) {
	for _, c := range []call{{parentRank: admission.Nested}, {lastNode: true, parentRank: 2, maxWait: 125 * time.Millisecond}} {
		header, got := http.Header{}, call{}
		setExtension(header, c.extension())
		got.readExtension(extensionOf(header))
		assert.Equal(t, c, got)
	}
	got := call{}
	got.readExtension(url.Values{extensionParentRank: {"-5"}, extensionMaxWaitMS: {"-1"}, extensionLastNode: {"yes"}, "later": {"1"}})
	assert.Equal(t, call{parentRank: admission.Nested}, got)
}
