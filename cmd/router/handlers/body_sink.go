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

// bodySink gathers a streamed answer into one chat completion.
type bodySink struct {
	id      string
	role    string
	content strings.Builder
	tools   []toolCall
	finish  string
	usage   json.RawMessage
	bad     error
}

func newBodySink() *bodySink { return &bodySink{role: "assistant", finish: "stop"} }

type chunk struct {
	ID      string          `json:"id"`
	Choices []chunkChoice   `json:"choices"`
	Usage   json.RawMessage `json:"usage"`
}

type chunkChoice struct {
	Delta  chunkDelta `json:"delta"`
	Finish string     `json:"finish_reason"`
}

type chunkDelta struct {
	Role    string     `json:"role"`
	Content string     `json:"content"`
	Tools   []toolCall `json:"tool_calls"`
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
func (s *bodySink) WriteChunk(p office.Chunk, _ bool) error {
	if p.End {
		return nil
	}
	var c chunk
	if err := json.Unmarshal(p.Data, &c); err != nil {
		s.bad = err
		return nil
	}
	if c.ID != "" {
		s.id = c.ID
	}
	if len(c.Usage) > 0 {
		s.usage = c.Usage
	}
	for _, choice := range c.Choices {
		s.add(choice)
	}
	return nil
}

func (s *bodySink) add(c chunkChoice) {
	if c.Delta.Role != "" {
		s.role = c.Delta.Role
	}
	if c.Finish != "" {
		s.finish = c.Finish
	}
	s.content.WriteString(c.Delta.Content)
	for _, t := range c.Delta.Tools {
		s.addTool(t)
	}
}

// addTool joins the parts of a tool call, which come piece by piece.
func (s *bodySink) addTool(t toolCall) {
	for i := range s.tools {
		if s.tools[i].Index == t.Index {
			s.tools[i].Function.Arguments += t.Function.Arguments
			return
		}
	}
	s.tools = append(s.tools, t)
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
	Index   int               `json:"index"`
	Message completionMessage `json:"message"`
	Finish  string            `json:"finish_reason"`
}

type completionMessage struct {
	Role    string     `json:"role"`
	Content string     `json:"content"`
	Tools   []toolCall `json:"tool_calls,omitempty"`
}

func (s *bodySink) write(w http.ResponseWriter, model string) *vanillalug.Problem {
	if s.bad != nil {
		return vanillalug.NewProblem(http.StatusBadGateway, "bad-answer",
			"the engine's answer is not a chat completion: "+s.bad.Error(),
			vanillalug.WithRunState(vanillalug.RunDone))
	}
	w.Header().Set(reception.RunStateHeader, string(vanillalug.RunDone))
	reception.WriteJSON(w, http.StatusOK, completionBody{
		ID: s.id, Object: "chat.completion", Created: time.Now().Unix(), Model: model, Usage: s.usage,
		Choices: []completionChoice{{
			Message: completionMessage{Role: s.role, Content: s.content.String(), Tools: s.tools},
			Finish:  s.finish,
		}},
	})
	return nil
}
