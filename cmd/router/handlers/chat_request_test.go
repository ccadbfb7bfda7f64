package handlers

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestParseChatInvalidFields(t *testing.T) {
	tests := map[string]struct {
		body  string
		field string
	}{
		"not JSON":             {`{`, "body"},
		"not an object":        {`[]`, "body"},
		"no model":             {`{"messages":[{"role":"user"}]}`, "model"},
		"model not a string":   {`{"model":3}`, "model"},
		"no messages":          {`{"model":"m"}`, "messages"},
		"messages not a list":  {`{"model":"m","messages":{}}`, "messages"},
		"stream not a boolean": {`{"model":"m","messages":[{}],"stream":"yes"}`, "stream"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			_, p := parseChat([]byte(tt.body))
			require.NotNil(t, p)
			require.Equal(t, tt.field, p.Field())
			require.Equal(t, 400, p.Status())
		})
	}
}

func parsed(t *testing.T, body string) chatRequest {
	t.Helper()
	q, p := parseChat([]byte(body))
	require.Nil(t, p)
	return q
}

func TestChatKey(t *testing.T) {
	first := parsed(t, `{"model":"m","messages":[{"role":"system","content":"s"},{"role":"user","content":"a"}]}`)
	again := parsed(t, `{"model":"m","messages":[{"role":"system","content":"s"},{"role":"user","content":"a"},{"role":"assistant","content":"b"},{"role":"user","content":"c"}]}`)
	other := parsed(t, `{"model":"m","messages":[{"role":"system","content":"s"},{"role":"user","content":"z"}]}`)
	require.Equal(t, first.chatKey("w", ""), again.chatKey("w", ""), "a later request of the same chat")
	require.NotEqual(t, first.chatKey("w", ""), other.chatKey("w", ""), "another first user message")
	require.NotEqual(t, first.chatKey("w", ""), first.chatKey("v", ""), "another workspace")
	require.Equal(t, first.chatKey("w", "n"), other.chatKey("w", "n"), "named by the header")
	require.False(t, first.returning())
	require.True(t, again.returning())
}

func TestEngineBodyKeepsOtherFields(t *testing.T) {
	q := parsed(t, `{"model":"m","messages":[{"role":"user","content":"a"}],"temperature":0.5,"stream":false}`)
	raw, err := q.engineBody(q.chatKey("w", "n"), 3)
	require.NoError(t, err)
	var got map[string]any
	require.NoError(t, json.Unmarshal(raw, &got))
	require.Equal(t, 0.5, got["temperature"])
	require.Equal(t, true, got["stream"])
	require.Equal(t, 3.0, got["priority"])
	require.Len(t, got["prompt_cache_key"], 16)
}

func FuzzParseChat(f *testing.F) {
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":"a"}]}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		q, p := parseChat(body)
		if p != nil {
			return
		}
		key := q.chatKey("w", "")
		raw, err := q.engineBody(key, 0)
		require.NoError(t, err)
		again, p := parseChat(raw)
		require.Nil(t, p)
		require.Equal(t, q.model, again.model)
	})
}
