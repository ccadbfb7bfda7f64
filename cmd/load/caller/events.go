package caller

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"vanillalug.example"
)

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

// readEvents reads a streamed response. It is complete only with the terminator
// "[DONE]".
func (c *Caller) readEvents(w *http.Response, t Turn, start time.Time, r *Result) {
	lines := bufio.NewScanner(w.Body)
	lines.Buffer(nil, 1<<20)
	last := start
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
		r.addChunk([]byte(data), t)
		if r.Tokens == 1 && r.FirstToken == 0 {
			r.FirstToken = now.Sub(start)
		} else {
			r.MaxGap = max(r.MaxGap, now.Sub(last))
		}
		last = now
	}
	r.Err = lines.Err()
}

func (r *Result) addChunk(data []byte, t Turn) {
	var b chunkBody
	if err := json.Unmarshal(data, &b); err != nil {
		r.WrongTokens++
		return
	}
	if b.Error != nil {
		r.Problem = b.Error
	}
	r.setUsage(b.Usage)
	for _, choice := range b.Choices {
		if choice.Delta.Content != fmt.Sprintf("%s-%d ", t.echoWord(), r.Tokens) {
			r.WrongTokens++
		}
		r.Tokens++
		if t.OnToken != nil {
			t.OnToken(r.Tokens)
		}
	}
}

func (r *Result) setUsage(u *usageBody) {
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
	r.setUsage(b.Usage)
	for _, choice := range b.Choices {
		for _, word := range strings.Fields(choice.Message.Content) {
			if word != fmt.Sprintf("%s-%d", t.echoWord(), r.Tokens) {
				r.WrongTokens++
			}
			r.Tokens++
		}
	}
	r.Complete = true
}
