package sidecar

import (
	"net/http"
	"net/url"
	"testing"

	"github.com/stretchr/testify/assert"
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
