package handlers

import (
	"encoding/json"
	"net/http"
	"strconv"

	"vanillalug.example"
)

// chatRequest is the part of a chat completions request that routing needs.
// All other fields are forwarded unchanged.
type chatRequest struct {
	fields   map[string]json.RawMessage
	model    string
	stream   bool
	cacheKey string
	messages []chatMessage
}

type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// parseChat decodes a request. The problem names the first invalid field.
func parseChat(body []byte) (chatRequest, *vanillalug.Problem) {
	var q chatRequest
	if err := json.Unmarshal(body, &q.fields); err != nil {
		return q, invalidField("body", "is not a JSON object: "+err.Error())
	}
	for name, dst := range map[string]any{
		"model": &q.model, "stream": &q.stream, "prompt_cache_key": &q.cacheKey, "messages": &q.messages,
	} {
		raw, ok := q.fields[name]
		if !ok {
			continue
		}
		if err := json.Unmarshal(raw, dst); err != nil {
			return q, invalidField(name, err.Error())
		}
	}
	if q.model == "" {
		return q, invalidField("model", "is required")
	}
	if len(q.messages) == 0 {
		return q, invalidField("messages", "is required")
	}
	return q, nil
}

func invalidField(field, detail string) *vanillalug.Problem {
	return vanillalug.NewProblem(http.StatusBadRequest, "bad-request", field+": "+detail, vanillalug.WithField(field))
}

// chatKey returns the key of the chat: from the header, from the cache key, or
// from the messages up to the first one of the user, which are the same in
// every request of the chat.
func (q chatRequest) chatKey(workspace, header string) vanillalug.ChatKey {
	if header != "" {
		return vanillalug.NewChatKey(workspace, header)
	}
	if q.cacheKey != "" {
		return vanillalug.NewChatKey(workspace, q.cacheKey)
	}
	var prefix []string
	for _, m := range q.messages {
		prefix = append(prefix, m.Role, string(m.Content))
		if m.Role == "user" {
			break
		}
	}
	return vanillalug.OpeningChatKey(workspace, q.model, prefix...)
}

// returning reports whether the chat already has a response, which an engine
// may have cached.
func (q chatRequest) returning() bool {
	for _, m := range q.messages {
		if m.Role == "assistant" {
			return true
		}
	}
	return false
}

// engineBody returns the request body for the engine. Engines always stream, so
// that a response can be resumed.
func (q chatRequest) engineBody(key vanillalug.ChatKey, priority int) ([]byte, error) {
	q.fields["stream"] = json.RawMessage("true")
	q.fields["prompt_cache_key"] = json.RawMessage(strconv.Quote(key.String()))
	q.fields["priority"] = json.RawMessage(strconv.Itoa(priority))
	return json.Marshal(q.fields)
}
