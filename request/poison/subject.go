package poison

// Subject is what of a request may be the cause of a crash of its target.
type Subject struct {
	// Fingerprint is equal for requests that have the same effect on a target.
	Fingerprint uint64
	// Parts are the parts of the request's prompt that other requests share, without the
	// last one, which belongs to the request itself. It is empty for requests without
	// a prompt.
	Parts []uint64
}
