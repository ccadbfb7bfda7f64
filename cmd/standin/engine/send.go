package engine

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"vanillalug.example/cmd/standin/fault"
)

// sender writes the server-sent events of one stream to one reader.
type sender struct {
	engine *Engine
	stream *stream
	w      *bufio.Writer
	flush  func()
	r      *http.Request
	timer  *time.Timer
}

func (e *Engine) send(w http.ResponseWriter, r *http.Request, s *stream, offset int) {
	s.join()
	defer func() { s.leave(time.Now()) }()
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(requestHeader, s.id)
	w.WriteHeader(http.StatusOK)
	flusher := w.(http.Flusher)
	flusher.Flush()
	out := &sender{engine: e, stream: s, w: bufio.NewWriter(w), flush: flusher.Flush, r: r}
	out.timer = time.NewTimer(0)
	defer out.timer.Stop()
	if out.writeTokens(offset) {
		e.end(s)
	}
}

// writeTokens writes the tokens from the offset on, the usage chunk and the
// terminator. It reports whether the stream was sent to its end.
func (o *sender) writeTokens(offset int) bool {
	f := o.engine.faults.Current()
	for i := offset; i < o.stream.total; i++ {
		if !o.waitUntilDue(i) {
			return false
		}
		o.injectFaults(f, i, offset)
		o.writeToken(o.stream.id, i, o.stream.echoWord)
	}
	if o.engine.faults.Consume(func(f *fault.Faults) *int { return &f.OmitTerminator }) {
		o.flushAll()
		return false
	}
	o.writeUsage()
	fmt.Fprintf(o.w, "id: %s/%d\ndata: [DONE]\n\n", o.stream.id, o.stream.total+1)
	o.flushAll()
	return true
}

// injectFaults applies the fault switches for streams before the token i.
func (o *sender) injectFaults(f fault.Faults, i, offset int) {
	p := o.engine.faults
	if f.AbortAfterTokens > 0 && i-offset == f.AbortAfterTokens && p.Consume(func(f *fault.Faults) *int { return &f.AbortStreams }) {
		o.flushAll()
		fault.Abort()
	}
	if f.StallAfterTokens > 0 && i-offset == f.StallAfterTokens && p.Consume(func(f *fault.Faults) *int { return &f.StallStreams }) {
		o.flushAll()
		<-o.r.Context().Done()
		fault.Abort()
	}
	if f.WrongIDs > 0 && p.Consume(func(f *fault.Faults) *int { return &f.WrongIDs }) {
		o.writeToken("somebody-else", i, "wrong")
	}
	if f.Shuffle && i > 0 && i%3 == 0 {
		o.writeToken(o.stream.id, i-1, o.stream.echoWord)
		if i+1 < o.stream.total {
			o.writeToken(o.stream.id, i+1, o.stream.echoWord)
		}
	}
}

// waitUntilDue flushes and waits until the token i is due. It reports false if
// the stream was canceled or the reader has disconnected.
func (o *sender) waitUntilDue(i int) bool {
	select {
	case <-o.stream.canceled:
		return false
	default:
	}
	d := time.Until(o.stream.due(i))
	if d <= 0 {
		return o.r.Context().Err() == nil
	}
	o.flushAll()
	o.timer.Reset(d)
	select {
	case <-o.timer.C:
		return true
	case <-o.stream.canceled:
		return false
	case <-o.r.Context().Done():
		return false
	}
}

func (o *sender) flushAll() {
	_ = o.w.Flush()
	o.flush()
}

func (o *sender) writeToken(id string, offset int, word string) {
	fmt.Fprintf(o.w, "id: %s/%d\n", id, offset)
	fmt.Fprintf(o.w, `data: {"id":%q,"object":"chat.completion.chunk","choices":[{"index":0,"delta":{"content":"%s-%d "}}]}`,
		id, word, offset)
	_, _ = o.w.WriteString("\n\n")
}

// usageChunk reports the token counts, in the last chunk before the terminator.
type usageChunk struct {
	ID      string      `json:"id"`
	Object  string      `json:"object"`
	Choices []struct{}  `json:"choices"`
	Usage   usageTokens `json:"usage"`
}

type usageTokens struct {
	Prompt     int           `json:"prompt_tokens"`
	Completion int           `json:"completion_tokens"`
	Total      int           `json:"total_tokens"`
	Details    promptDetails `json:"prompt_tokens_details"`
}

type promptDetails struct {
	Cached int `json:"cached_tokens"`
}

func (o *sender) writeUsage() {
	s := o.stream
	raw, _ := json.Marshal(usageChunk{
		ID: s.id, Object: "chat.completion.chunk", Choices: []struct{}{},
		Usage: usageTokens{
			Prompt: s.prompt, Completion: s.total, Total: s.prompt + s.total,
			Details: promptDetails{Cached: s.cached},
		},
	})
	fmt.Fprintf(o.w, "id: %s/%d\ndata: %s\n\n", s.id, s.total, raw)
}
