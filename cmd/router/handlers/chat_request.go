package handlers

import (
	"encoding/json"
	"net/http"
	"strconv"

	"vanillalug.example"
)

// chatRequest is the part of a chat completions request that routing needs.
// All other fields are passed on as they came.
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

// parseChat reads a request and names the first field at fault.
func parseChat(body []byte) (chatRequest, *vanillalug.Problem) {
	var q chatRequest
	if err := json.Unmarshal(body, &q.fields); err != nil {
		return q, badField("body", "is not a JSON object: "+err.Error())
	}
	for name, into := range map[string]any{
		"model": &q.model, "stream": &q.stream, "prompt_cache_key": &q.cacheKey, "messages": &q.messages,
	} {
		raw, ok := q.fields[name]
		if !ok {
			continue
		}
		if err := json.Unmarshal(raw, into); err != nil {
			return q, badField(name, err.Error())
		}
	}
	if q.model == "" {
		return q, badField("model", "is required")
	}
	if len(q.messages) == 0 {
		return q, badField("messages", "is required")
	}
	return q, nil
}

func badField(field, detail string) *vanillalug.Problem {
	return vanillalug.NewProblem(http.StatusBadRequest, "bad-request", field+": "+detail, vanillalug.WithField(field))
}

// chatKey names the chat: by the header, by the cache key, or by the messages
// up to the first one of the user, which stay the same when the chat returns.
func (q chatRequest) chatKey(workspace, header string) vanillalug.ChatKey {
	if header != "" {
		return vanillalug.NewChatKey(workspace, header)
	}
	if q.cacheKey != "" {
		return vanillalug.NewChatKey(workspace, q.cacheKey)
	}
	var opening []string
	for _, m := range q.messages {
		opening = append(opening, m.Role, string(m.Content))
		if m.Role == "user" {
			break
		}
	}
	return vanillalug.OpeningChatKey(workspace, q.model, opening...)
}

// returning reports whether the chat has been answered before.
func (q chatRequest) returning() bool {
	for _, m := range q.messages {
		if m.Role == "assistant" {
			return true
		}
	}
	return false
}

// forEngine returns the body for the engine. Engines always stream, so that
// an answer can be resumed.
func (q chatRequest) forEngine(key vanillalug.ChatKey, priority int) ([]byte, error) {
	q.fields["stream"] = json.RawMessage("true")
	q.fields["prompt_cache_key"] = json.RawMessage(strconv.Quote(key.String()))
	q.fields["priority"] = json.RawMessage(strconv.Itoa(priority))
	return json.Marshal(q.fields)
}
