package standin

// Mode is how an upstream stand-in misbehaves. The zero value is healthy.
type Mode struct {
	// ExtraLatencyMs is added to every request.
	ExtraLatencyMs int `json:"extraLatencyMs"`
	// FailShare is the share of requests answered with 500, from 0 to 1.
	FailShare float64 `json:"failShare"`
	// TruncateShare is the share of answers cut short.
	TruncateShare float64 `json:"truncateShare"`
	// HangShare is the share of requests that get no answer.
	HangShare float64 `json:"hangShare"`
	// ProbeFails makes the health endpoint fail while work succeeds.
	ProbeFails bool `json:"probeFails"`
	// Leaving announces in every sign that the upstream leaves.
	Leaving bool `json:"leaving"`
	// ForeignAnswers makes answers carry the id of another request.
	ForeignAnswers bool `json:"foreignAnswers"`
}
