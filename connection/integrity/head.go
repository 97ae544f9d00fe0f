package integrity

import "net/http"

const (
	// minStatus and maxStatus are the statuses that HTTP defines.
	minStatus = 100
	maxStatus = 599
)

// CheckHead returns a HeadError if the head of a response is not one that a peer may send. That is so of an
// interim response too, which must not be skipped then: what follows it is not known to be a response.
func CheckHead(status int) error {
	if status < minStatus || status > maxStatus {
		return &HeadError{Status: status, Reason: "no status of HTTP"}
	}
	if status == http.StatusSwitchingProtocols {
		return &HeadError{Status: status, Reason: "no other protocol was asked for"}
	}
	return nil
}
