package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"vanillalug.example"
)

// Turn is one request of a chat.
type Turn struct {
	Router string
	Key    string
	Class  string
	Model  string
	Chat   string
	// EchoWord is the first word of the last message, Chat by default.
	EchoWord string
	// Number is the number of earlier turns.
	Number int
	// PromptTokens is the approximate number of tokens in each message.
	PromptTokens   int
	ResponseTokens int
	OnToken        func(n int)
	NoStream       bool
	// OmitChatID leaves out the Vanillalug-Chat header.
	OmitChatID bool
}

// Result is the result of a Turn.
type Result struct {
	Complete bool
	Tokens   int
	// WrongTokens counts tokens that differ from the expected ones, and invalid
	// chunks.
	WrongTokens  int
	PromptTokens int
	CachedTokens int
	FirstToken   time.Duration
	Total        time.Duration
	// MaxGap is the longest time between two events of a stream.
	MaxGap  time.Duration
	Status  int
	Problem *vanillalug.Problem
	Err     error
}

// Caller sends requests to routers.
type Caller struct {
	client *http.Client
}

// New returns a Caller with its own connection pool.
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

// messages returns the conversation up to this turn. Those of earlier turns are a
// prefix of it, apart from EchoWord, so that engines can reuse the cached prompt.
func (t Turn) messages() []message {
	filler := strings.Repeat("shower drain code ", t.PromptTokens*4/18+1)
	out := []message{{Role: "system", Content: "office"}}
	for i := range t.Number {
		out = append(out,
			message{Role: "user", Content: fmt.Sprintf("%s question %d %s", t.Chat, i, filler)},
			message{Role: "assistant", Content: fmt.Sprintf("answer %d %s", i, filler)})
	}
	return append(out, message{Role: "user", Content: fmt.Sprintf("%s question %d %s", t.echoWord(), t.Number, filler)})
}

// echoWord returns the word that the fake engine repeats in its response: EchoWord,
// or the chat by default.
func (t Turn) echoWord() string {
	if t.EchoWord == "" {
		return t.Chat
	}
	return t.EchoWord
}

// Chat sends one turn and reads the response.
func (c *Caller) Chat(ctx context.Context, t Turn) Result {
	start := time.Now()
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
		c.readEvents(w, t, start, &r)
	}
	r.Total = time.Since(start)
	r.Complete = r.Complete && r.Err == nil && r.WrongTokens == 0 && r.Tokens == t.ResponseTokens
	return r
}

func (c *Caller) send(ctx context.Context, t Turn) (*http.Response, error) {
	raw, err := json.Marshal(chatBody{Model: t.Model, Stream: !t.NoStream, MaxTokens: t.ResponseTokens, Messages: t.messages()})
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+t.Router+"/v1/chat/completions", bytes.NewReader(raw))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+t.Key)
	if !t.OmitChatID {
		req.Header.Set("Vanillalug-Chat", t.Chat)
	}
	if t.Class != "" {
		req.Header.Set("Vanillalug-Class", t.Class)
	}
	return c.client.Do(req)
}

func readProblem(w *http.Response) (*vanillalug.Problem, error) {
	var p vanillalug.Problem
	if err := json.NewDecoder(w.Body).Decode(&p); err != nil {
		return nil, fmt.Errorf("status %d: %w", w.StatusCode, err)
	}
	return &p, nil
}

// RunState returns the run state that the response stated, or "" if it has none.
func (r Result) RunState() vanillalug.RunState {
	switch {
	case r.Complete:
		return vanillalug.RunDone
	case r.Problem != nil:
		return r.Problem.RunState()
	}
	return ""
}

// RetryAfter returns how long to wait before a retry, or 0 if the response does
// not say.
func (r Result) RetryAfter() time.Duration {
	if r.Problem == nil {
		return 0
	}
	return r.Problem.RetryAfter()
}
