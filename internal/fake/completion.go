package fake

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
)

// engineBody is the response body of a completion: one JSON document, or a stream of
// events in which each token is sent when the engine has generated it.
type engineBody struct {
	engine *Engine
	gen    *generation
	kill   chan struct{} // closed when the engine is killed
	cancel context.CancelFunc
	chat   bool
	stream bool
	buf    []byte
	ended  bool
}

// Read implements io.Reader.
func (b *engineBody) Read(p []byte) (int, error) {
	for len(b.buf) == 0 {
		if b.ended {
			return 0, io.EOF
		}
		if err := b.fill(); err != nil {
			return 0, err
		}
	}
	n := copy(p, b.buf)
	b.buf = b.buf[n:]
	return n, nil
}

// fill encodes the next event of a stream, or the whole document, into buf.
func (b *engineBody) fill() error {
	if b.stream {
		token, ok, err := b.nextToken()
		if err != nil {
			return err
		}
		if ok {
			b.buf = fmt.Appendf(nil, "data: %s\n\n", b.encodeChunk(token))
			return nil
		}
		b.buf = []byte("data: [DONE]\n\n")
		b.ended = true
		return nil
	}
	var text strings.Builder
	for {
		token, ok, err := b.nextToken()
		if err != nil {
			return err
		}
		if !ok {
			break
		}
		text.WriteString(token)
	}
	b.buf = b.encodeAnswer(text.String())
	b.ended = true
	return nil
}

// nextToken waits for the next token. The second result is false after the last token.
func (b *engineBody) nextToken() (string, bool, error) {
	select {
	case token, ok := <-b.gen.tokens:
		return token, ok, nil
	default:
	}
	select {
	case token, ok := <-b.gen.tokens:
		return token, ok, nil
	case <-b.kill:
		return "", false, errEngineDown
	case <-b.gen.ctx.Done():
		return "", false, context.Cause(b.gen.ctx)
	}
}

type choice struct {
	Index   int          `json:"index"`
	Text    string       `json:"text,omitempty"`
	Delta   *chatMessage `json:"delta,omitempty"`
	Message *chatMessage `json:"message,omitempty"`
}

type completion struct {
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
}

func (b *engineBody) encodeChunk(token string) []byte {
	c := completion{Object: "text_completion", Model: b.engine.Model, Choices: []choice{{Text: token}}}
	if b.chat {
		c.Object = "chat.completion.chunk"
		c.Choices[0] = choice{Delta: &chatMessage{Role: "assistant", Content: token}}
	}
	text, _ := json.Marshal(c) // encoding these structs can't fail
	return text
}

func (b *engineBody) encodeAnswer(text string) []byte {
	c := completion{Object: "text_completion", Model: b.engine.Model, Choices: []choice{{Text: text}}}
	if b.chat {
		c.Object = "chat.completion"
		c.Choices[0] = choice{Message: &chatMessage{Role: "assistant", Content: text}}
	}
	out, _ := json.Marshal(c) // encoding these structs can't fail
	return out
}

// Close implements io.Closer. It cancels the request if the response is unfinished.
func (b *engineBody) Close() error {
	b.cancel()
	return nil
}
