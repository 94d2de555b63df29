package route

import "bytes"

// Cost is a request's estimated work in tokens.
type Cost struct {
	Prompt float64 // prompt tokens
	Decode float64 // tokens to generate
}

// PromptTokenWeight is the cost of a prompt token, as a multiple of the cost of a
// generated token. It is below 1 because engines compute many prompt tokens in a step.
const PromptTokenWeight = 0.1

// DecodeEquivalent returns the cost as a number of generated tokens, the unit of shares
// and rate limits.
func (c Cost) DecodeEquivalent() float64 { return c.Prompt*PromptTokenWeight + c.Decode }

// PlainCost is the cost of a request to a plain service.
var PlainCost = Cost{Decode: 1}

// bytesPerToken converts the size of a text to tokens. Tokenizers differ, but shares and
// estimated waits need only the order of magnitude.
const bytesPerToken = 4

// defaultDecodeTokens is the assumed answer length while no mean is known.
const defaultDecodeTokens = 128

// EstimateCost estimates the cost of a model request from the size of its prompt and
// its limit of generated tokens (0: none). meanAnswerTokens is the observed mean length
// of answers (0: unknown). The mean takes precedence over a larger limit, because most
// answers end long before their limit.
func EstimateCost(promptBytes, maxTokens int, meanAnswerTokens float64) Cost {
	decode := orDefault(meanAnswerTokens, defaultDecodeTokens)
	if maxTokens > 0 {
		decode = min(decode, float64(maxTokens))
	}
	return Cost{Prompt: float64(promptBytes / bytesPerToken), Decode: decode}
}

var eventPrefix = []byte("data:")

// EstimateTokens estimates the tokens in a chunk of an answer: one for each event of a
// stream, otherwise one for each bytesPerToken bytes. streamed reports whether the chunk
// holds stream events.
func EstimateTokens(chunk []byte) (n int, streamed bool) {
	if n := bytes.Count(chunk, eventPrefix); n > 0 {
		return n, true
	}
	return max(1, len(chunk)/bytesPerToken), false
}
