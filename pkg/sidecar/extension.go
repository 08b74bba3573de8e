package sidecar

import (
	"net/http"
	"net/url"
	"strings"
)

// headerExtension carries optional values between nodes, as a URL query, in calls and in replies. Nodes ignore names that they do not know.
// Connection lists the field, so that builds without it drop it instead of forwarding it.
const headerExtension = "Mesh-Extension"

// setExtension adds the values to a header, if there are any.
func setExtension(header http.Header, values url.Values) {
	if len(values) == 0 {
		return
	}
	header.Set(headerExtension, values.Encode())
	if !listsExtension(header) {
		header.Add("Connection", headerExtension)
	}
}

// listsExtension reports whether the header says already that the extension concerns a single connection.
func listsExtension(header http.Header) bool {
	for _, value := range header["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			if strings.EqualFold(strings.TrimSpace(name), headerExtension) {
				return true
			}
		}
	}
	return false
}

// extensionOf returns the values that another node has added to a header. A malformed field counts as absent: each value is optional.
func extensionOf(header http.Header) url.Values {
	values, err := url.ParseQuery(header.Get(headerExtension))
	if err != nil {
		return nil
	}
	return values
}
