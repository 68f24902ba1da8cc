package engine

// Request is the part of a completion request that the stand-in reads.
type Request struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
	Nonce     string `json:"user"` // comes back in every piece of the answer
}

// Answer is a whole answer.
type Answer struct {
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	User    string   `json:"user"`
	Choices []Choice `json:"choices"`
	Usage   Usage    `json:"usage"`
}

// Choice is one text of an answer.
type Choice struct {
	Text string `json:"text"`
}

// Usage says what an answer took.
type Usage struct {
	CompletionTokens int `json:"completion_tokens"`
}
