package handlers

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"vanillalug.example"
	"vanillalug.example/cmd/router/office"
	"vanillalug.example/reception"
)

// bodySink assembles a streamed response into one chat completion.
type bodySink struct {
	id           string
	role         string
	content      strings.Builder
	toolCalls    []toolCall
	finishReason string
	usage        json.RawMessage
	parseErr     error
}

func newBodySink() *bodySink { return &bodySink{role: "assistant", finishReason: "stop"} }

type completionChunk struct {
	ID      string          `json:"id"`
	Choices []chunkChoice   `json:"choices"`
	Usage   json.RawMessage `json:"usage"`
}

type chunkChoice struct {
	Delta        chunkDelta `json:"delta"`
	FinishReason string     `json:"finish_reason"`
}

type chunkDelta struct {
	Role      string     `json:"role"`
	Content   string     `json:"content"`
	ToolCalls []toolCall `json:"tool_calls"`
}

type toolCall struct {
	Index    int          `json:"index"`
	ID       string       `json:"id,omitempty"`
	Type     string       `json:"type,omitempty"`
	Function toolFunction `json:"function"`
}

type toolFunction struct {
	Name      string `json:"name,omitempty"`
	Arguments string `json:"arguments"`
}

// Queued implements office.Sink.
func (s *bodySink) Queued() {}

// Admitted implements office.Sink.
func (s *bodySink) Admitted(string, time.Duration) {}

// WriteChunk implements office.Sink.
func (s *bodySink) WriteChunk(chunk office.Chunk, _ bool) error {
	if chunk.End {
		return nil
	}
	var c completionChunk
	if err := json.Unmarshal(chunk.Data, &c); err != nil {
		s.parseErr = err
		return nil
	}
	if c.ID != "" {
		s.id = c.ID
	}
	if len(c.Usage) > 0 {
		s.usage = c.Usage
	}
	for _, choice := range c.Choices {
		s.addChoice(choice)
	}
	return nil
}

func (s *bodySink) addChoice(c chunkChoice) {
	if c.Delta.Role != "" {
		s.role = c.Delta.Role
	}
	if c.FinishReason != "" {
		s.finishReason = c.FinishReason
	}
	s.content.WriteString(c.Delta.Content)
	for _, t := range c.Delta.ToolCalls {
		s.addToolCall(t)
	}
}

// addToolCall appends to the arguments of a tool call, which is streamed in
// several chunks with the same index.
func (s *bodySink) addToolCall(t toolCall) {
	for i := range s.toolCalls {
		if s.toolCalls[i].Index == t.Index {
			s.toolCalls[i].Function.Arguments += t.Function.Arguments
			return
		}
	}
	s.toolCalls = append(s.toolCalls, t)
}

type completionBody struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   json.RawMessage    `json:"usage,omitempty"`
}

type completionChoice struct {
	Index        int               `json:"index"`
	Message      completionMessage `json:"message"`
	FinishReason string            `json:"finish_reason"`
}

type completionMessage struct {
	Role      string     `json:"role"`
	Content   string     `json:"content"`
	ToolCalls []toolCall `json:"tool_calls,omitempty"`
}

func (s *bodySink) write(w http.ResponseWriter, model string) *vanillalug.Problem {
	if s.parseErr != nil {
		return vanillalug.NewProblem(http.StatusBadGateway, "bad-answer",
			"the engine's answer is not a chat completion: "+s.parseErr.Error(),
			vanillalug.WithRunState(vanillalug.RunDone))
	}
	w.Header().Set(reception.RunStateHeader, string(vanillalug.RunDone))
	reception.WriteJSON(w, http.StatusOK, completionBody{
		ID: s.id, Object: "chat.completion", Created: time.Now().Unix(), Model: model, Usage: s.usage,
		Choices: []completionChoice{{
			Message:      completionMessage{Role: s.role, Content: s.content.String(), ToolCalls: s.toolCalls},
			FinishReason: s.finishReason,
		}},
	})
	return nil
}
