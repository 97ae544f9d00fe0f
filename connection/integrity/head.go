package integrity

import (
	"net/http"
	"strconv"

	"golang.org/x/net/http/httpguts"
)

const (
	// minStatus and maxStatus are the statuses that HTTP defines.
	minStatus = 100
	maxStatus = 599
)

// CheckHead returns a HeadError if the head of a response is not one that a peer may send. That is so of an
// interim response too, which must not be skipped then: what follows it is not known to be a response.
func CheckHead(status int, header http.Header) error {
	if status < minStatus || status > maxStatus {
		return &HeadError{Status: status, Reason: "no status of HTTP"}
	}
	if status == http.StatusSwitchingProtocols {
		return &HeadError{Status: status, Reason: "no other protocol was asked for"}
	}
	return CheckFields(status, header)
}

// CheckFields returns a HeadError if the header or trailer of a response with the given status has a field with a
// malformed name. net/http keeps fields whose names hold a blank under these names: the length or the encoding
// of a body that they state has no effect. It rejects all other bytes that no name or value may hold.
func CheckFields(status int, fields http.Header) error {
	for name := range fields {
		if !httpguts.ValidHeaderFieldName(name) {
			return &HeadError{Status: status, Reason: "field with the name " + strconv.Quote(name)}
		}
	}
	return nil
}
