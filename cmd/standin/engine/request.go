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

// chatRequest is the part of a chat completion request that matters here.
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
	var q chatRequest
	if err := json.Unmarshal(raw, &q); err != nil {
		return chatRequest{}, fmt.Errorf("readChatRequest: %w", err)
	}
	if q.MaxTokens <= 0 {
		q.MaxTokens = defaultTokens
	}
	return q, nil
}

// promptTokens estimates the length of the prompt.
func (q chatRequest) promptTokens() int {
	n := 0
	for _, m := range q.Messages {
		n += len(m.Content)/bytesPerToken + 1
	}
	return n
}

// word returns the first word of the last message, which the answer repeats,
// so that callers can tell their own answer.
func (q chatRequest) word() string {
	if len(q.Messages) == 0 {
		return "-"
	}
	var text string
	if json.Unmarshal(q.Messages[len(q.Messages)-1].Content, &text) != nil {
		return "-"
	}
	word, _, _ := strings.Cut(text, " ")
	return word
}
