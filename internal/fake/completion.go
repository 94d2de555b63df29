package fake

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
)

// engineBody turns tokens into an answer as the reader asks for it.
type engineBody struct {
	engine *Engine
	gen    *generation
	kill   chan struct{}
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

func (b *engineBody) fill() error {
	if b.stream {
		token, ok, err := b.next()
		if err != nil {
			return err
		}
		if ok {
			b.buf = fmt.Appendf(nil, "data: %s\n\n", b.chunk(token))
			return nil
		}
		b.buf = []byte("data: [DONE]\n\n")
		b.ended = true
		return nil
	}
	var text strings.Builder
	for {
		token, ok, err := b.next()
		if err != nil {
			return err
		}
		if !ok {
			break
		}
		text.WriteString(token)
	}
	b.buf = b.whole(text.String())
	b.ended = true
	return nil
}

func (b *engineBody) next() (string, bool, error) {
	select {
	case token, ok := <-b.gen.out:
		return token, ok, nil
	default:
	}
	select {
	case token, ok := <-b.gen.out:
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

func (b *engineBody) chunk(token string) []byte {
	c := completion{Object: "text_completion", Model: b.engine.Model, Choices: []choice{{Text: token}}}
	if b.chat {
		c.Object = "chat.completion.chunk"
		c.Choices[0] = choice{Delta: &chatMessage{Role: "assistant", Content: token}}
	}
	text, _ := json.Marshal(c) // plain structs always encode
	return text
}

func (b *engineBody) whole(text string) []byte {
	c := completion{Object: "text_completion", Model: b.engine.Model, Choices: []choice{{Text: text}}}
	if b.chat {
		c.Object = "chat.completion"
		c.Choices[0] = choice{Message: &chatMessage{Role: "assistant", Content: text}}
	}
	out, _ := json.Marshal(c) // plain structs always encode
	return out
}

// Close implements io.Closer; an unfinished request leaves the engine.
func (b *engineBody) Close() error {
	b.cancel()
	return nil
}
