package gateway

// Header fields of requests from callers and of the responses to them.
const (
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderRequestID      = "X-Request-Id"
	HeaderTimeout        = "X-Verbenaseam-Timeout-Ms"
	HeaderOutcome        = "X-Verbenaseam-Outcome"
	HeaderClass          = "X-Verbenaseam-Class"
)

// Paths of model requests.
const (
	PathChat        = "/v1/chat/completions"
	PathCompletions = "/v1/completions"
)
