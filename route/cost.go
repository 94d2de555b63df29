package route

import "bytes"

// Cost is a request's estimated work in tokens.
type Cost struct {
	Prompt float64 // prompt tokens
	Decode float64 // tokens to generate
}

// PromptTokenWeight is what a prompt token costs in generated tokens: engines compute
// prompts many tokens a step.
const PromptTokenWeight = 0.1

// DecodeEquivalent returns one figure for shares and limits, in generated tokens.
func (c Cost) DecodeEquivalent() float64 { return c.Prompt*PromptTokenWeight + c.Decode }

// PlainCost is the cost of a request of a plain service.
var PlainCost = Cost{Decode: 1}

// bytesPerToken converts a body's size; tokenizers differ, shares and waits
// need the order only.
const bytesPerToken = 4

// expectedDecode is taken for a request that names no limit.
const expectedDecode = 128

// EstimateCost returns the cost of a model request from the bytes of its prompt
// and the limit of tokens that it names (0: none). expected is the mean length
// of answers learnt so far (0: unknown); most answers end long before the limit.
func EstimateCost(promptBytes, maxTokens int, expected float64) Cost {
	decode := orDefault(expected, expectedDecode)
	if maxTokens > 0 {
		decode = min(decode, float64(maxTokens))
	}
	return Cost{Prompt: float64(promptBytes / bytesPerToken), Decode: decode}
}

var eventMark = []byte("data:")

// EstimateTokens estimates the tokens in a piece of an answer: one for each event
// of a stream, else by bytes. streamed tells which.
func EstimateTokens(piece []byte) (n int, streamed bool) {
	if n := bytes.Count(piece, eventMark); n > 0 {
		return n, true
	}
	return max(1, len(piece)/bytesPerToken), false
}
