package caller

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"vanillalug.example"
)

// Turn is one chat request of a member.
type Turn struct {
	Router         string
	Key            string
	Class          string
	Model          string
	Chat           string
	EchoWord       string
	Number         int
	PromptTokens   int
	ResponseTokens int
	OnToken        func(n int)
	NoStream       bool
	OmitChatID     bool
}

// Result is what became of a chat request.
type Result struct {
	Complete     bool
	Tokens       int
	WrongTokens  int
	PromptTokens int
	CachedTokens int
	FirstToken   time.Duration
	Total        time.Duration
	MaxGap       time.Duration
	Status       int
	Problem      *vanillalug.Problem
	Err          error
}

// Caller sends requests of members.
type Caller struct {
	client *http.Client
}

// New returns a caller with a connection pool of its own.
func New() *Caller {
	t := http.DefaultTransport.(*http.Transport).Clone()
	t.MaxIdleConnsPerHost = 1024
	t.DisableCompression = true
	return &Caller{client: &http.Client{Transport: t, CheckRedirect: noRedirect}}
}

func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type chatBody struct {
	Model     string    `json:"model"`
	Stream    bool      `json:"stream"`
	MaxTokens int       `json:"max_tokens"`
	Messages  []message `json:"messages"`
}

// messages returns the conversation so far. It starts alike in every turn.
func (t Turn) messages() []message {
	filler := strings.Repeat("shower drain code ", t.PromptTokens*4/18+1)
	out := []message{{Role: "system", Content: "office"}}
	for i := range t.Number {
		out = append(out,
			message{Role: "user", Content: fmt.Sprintf("%s question %d %s", t.Chat, i, filler)},
			message{Role: "assistant", Content: fmt.Sprintf("answer %d %s", i, filler)})
	}
	return append(out, message{Role: "user", Content: fmt.Sprintf("%s question %d %s", t.word(), t.Number, filler)})
}

// word is what the stand-in engine repeats in its answer.
func (t Turn) word() string {
	if t.EchoWord == "" {
		return t.Chat
	}
	return t.EchoWord
}

// Chat sends one turn and reads the answer.
func (c *Caller) Chat(ctx context.Context, t Turn) Result {
	begun := time.Now()
	w, err := c.send(ctx, t)
	if err != nil {
		return Result{Err: err}
	}
	defer func() { _ = w.Body.Close() }()
	r := Result{Status: w.StatusCode}
	switch {
	case w.StatusCode != http.StatusOK:
		r.Problem, r.Err = readProblem(w)
	case t.NoStream:
		c.readBody(w, t, &r)
	default:
		c.readEvents(w, t, begun, &r)
	}
	r.Total = time.Since(begun)
	r.Complete = r.Complete && r.Err == nil && r.WrongTokens == 0 && r.Tokens == t.ResponseTokens
	return r
}

func (c *Caller) send(ctx context.Context, t Turn) (*http.Response, error) {
	raw, err := json.Marshal(chatBody{Model: t.Model, Stream: !t.NoStream, MaxTokens: t.ResponseTokens, Messages: t.messages()})
	if err != nil {
		return nil, err
	}
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+t.Router+"/v1/chat/completions", bytes.NewReader(raw))
	if err != nil {
		return nil, err
	}
	q.Header.Set("Content-Type", "application/json")
	q.Header.Set("Authorization", "Bearer "+t.Key)
	if !t.OmitChatID {
		q.Header.Set("Vanillalug-Chat", t.Chat)
	}
	if t.Class != "" {
		q.Header.Set("Vanillalug-Class", t.Class)
	}
	return c.client.Do(q)
}

func readProblem(w *http.Response) (*vanillalug.Problem, error) {
	var p vanillalug.Problem
	if err := json.NewDecoder(w.Body).Decode(&p); err != nil {
		return nil, fmt.Errorf("status %d: %w", w.StatusCode, err)
	}
	return &p, nil
}

type chunkBody struct {
	Choices []struct {
		Delta   message `json:"delta"`
		Message message `json:"message"`
	} `json:"choices"`
	Usage *usageBody          `json:"usage"`
	Error *vanillalug.Problem `json:"error"`
}

type usageBody struct {
	Prompt  int `json:"prompt_tokens"`
	Details struct {
		Cached int `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

// readEvents reads a streamed answer. Only the terminator makes it whole.
func (c *Caller) readEvents(w *http.Response, t Turn, begun time.Time, r *Result) {
	lines := bufio.NewScanner(w.Body)
	lines.Buffer(nil, 1<<20)
	last := begun
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			r.Complete = true
			continue
		}
		now := time.Now()
		r.chunk([]byte(data), t)
		if r.Tokens == 1 && r.FirstToken == 0 {
			r.FirstToken = now.Sub(begun)
		} else {
			r.MaxGap = max(r.MaxGap, now.Sub(last))
		}
		last = now
	}
	r.Err = lines.Err()
}

func (r *Result) chunk(data []byte, t Turn) {
	var b chunkBody
	if err := json.Unmarshal(data, &b); err != nil {
		r.WrongTokens++
		return
	}
	if b.Error != nil {
		r.Problem = b.Error
	}
	r.usage(b.Usage)
	for _, choice := range b.Choices {
		if choice.Delta.Content != fmt.Sprintf("%s-%d ", t.word(), r.Tokens) {
			r.WrongTokens++
		}
		r.Tokens++
		if t.OnToken != nil {
			t.OnToken(r.Tokens)
		}
	}
}

func (r *Result) usage(u *usageBody) {
	if u != nil {
		r.PromptTokens = u.Prompt
		r.CachedTokens = u.Details.Cached
	}
}

func (c *Caller) readBody(w *http.Response, t Turn, r *Result) {
	var b chunkBody
	if r.Err = json.NewDecoder(w.Body).Decode(&b); r.Err != nil {
		return
	}
	r.usage(b.Usage)
	for _, choice := range b.Choices {
		for _, word := range strings.Fields(choice.Message.Content) {
			if word != fmt.Sprintf("%s-%d", t.word(), r.Tokens) {
				r.WrongTokens++
			}
			r.Tokens++
		}
	}
	r.Complete = true
}

// RunState returns the run state that the answer stated, or "" for none.
func (r Result) RunState() vanillalug.RunState {
	switch {
	case r.Complete:
		return vanillalug.RunDone
	case r.Problem != nil:
		return r.Problem.RunState()
	}
	return ""
}

// RetryAfter returns when the answer tells the caller to come back.
func (r Result) RetryAfter() time.Duration {
	if r.Problem == nil {
		return 0
	}
	return r.Problem.RetryAfter()
}
