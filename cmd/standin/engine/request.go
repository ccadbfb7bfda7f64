package engine

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
)

const (
	maxRequestBytes = 16 << 20
	bytesPerToken   = 4
	defaultTokens   = 16
)

// chatRequest has the fields of a chat completion request that the engine uses.
type chatRequest struct {
	Model     string    `json:"model"`
	Messages  []message `json:"messages"`
	MaxTokens int       `json:"max_tokens"`
	CacheKey  string    `json:"prompt_cache_key"`
	Priority  int       `json:"priority"`
}

type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

func readChatRequest(r *http.Request) (chatRequest, error) {
	raw, err := io.ReadAll(io.LimitReader(r.Body, maxRequestBytes))
	if err != nil {
		return chatRequest{}, err
	}
	var req chatRequest
	if err := json.Unmarshal(raw, &req); err != nil {
		return chatRequest{}, fmt.Errorf("readChatRequest: %w", err)
	}
	if req.MaxTokens <= 0 {
		req.MaxTokens = defaultTokens
	}
	return req, nil
}

// promptTokens estimates the length of the prompt in tokens.
func (req chatRequest) promptTokens() int {
	n := 0
	for _, m := range req.Messages {
		n += len(m.Content)/bytesPerToken + 1
	}
	return n
}

// echoWord returns the first word of the last message. Every token repeats it,
// so that callers can detect tokens of another caller's response.
func (req chatRequest) echoWord() string {
	if len(req.Messages) == 0 {
		return "-"
	}
	var text string
	if json.Unmarshal(req.Messages[len(req.Messages)-1].Content, &text) != nil {
		return "-"
	}
	word, _, _ := strings.Cut(text, " ")
	return word
}
