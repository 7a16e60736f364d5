package standin

// Mode is the failure mode of an upstream stand-in. The zero value is healthy.
type Mode struct {
	// ExtraLatencyMs is added to the service time of every request.
	ExtraLatencyMs int `json:"extraLatencyMs"`
	// FailShare is the share of requests answered with 500, from 0 to 1.
	FailShare float64 `json:"failShare"`
	// TruncateShare is the share of answers that are truncated.
	TruncateShare float64 `json:"truncateShare"`
	// HangShare is the share of requests that are not answered in time.
	HangShare float64 `json:"hangShare"`
	// ProbeFails makes the health endpoint fail while requests succeed.
	ProbeFails bool `json:"probeFails"`
	// Leaving announces in health responses and answers that the upstream leaves.
	Leaving bool `json:"leaving"`
	// ForeignAnswers makes answers carry the request id of another request.
	ForeignAnswers bool `json:"foreignAnswers"`
}
