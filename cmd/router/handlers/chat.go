package handlers

import (
	"net/http"

	"vanillalug.example"
	"vanillalug.example/cmd/router/office"
)

// The headers of chat requests.
const (
	ChatHeader  = "Vanillalug-Chat"
	ClassHeader = "Vanillalug-Class"
)

// chat answers a chat completions request.
func (c *CallerAPI) chat(w http.ResponseWriter, r *http.Request, ws vanillalug.Workspace) *vanillalug.Problem {
	body, p := readBody(r)
	if p != nil {
		return p
	}
	q, p := parseChat(body)
	if p != nil {
		return p
	}
	class, p := c.class(r, ws)
	if p != nil {
		return p
	}
	if !ws.MayUseModel(q.model) || len(c.office.Fleet().EnginesFor(q.model)) == 0 {
		return vanillalug.NewProblem(http.StatusNotFound, "no-such-model",
			"the model is not one of this workspace", vanillalug.WithField("model"))
	}
	key := q.chatKey(ws.Name(), r.Header.Get(ChatHeader))
	forward, err := q.forEngine(key, class.Priority())
	if err != nil {
		return vanillalug.NewProblem(http.StatusBadRequest, "bad-request", err.Error(), vanillalug.WithField("body"))
	}
	chat := office.ChatRequest{
		Workspace: ws, Class: class.Name(), Model: q.model, Key: key,
		Returning: q.returning(), Body: forward,
	}
	if q.stream {
		return c.streamed(w, r, chat)
	}
	return c.whole(w, r, chat)
}

func (c *CallerAPI) class(r *http.Request, ws vanillalug.Workspace) (vanillalug.Class, *vanillalug.Problem) {
	name := r.Header.Get(ClassHeader)
	if name == "" {
		name = ws.Class()
	}
	class, ok := c.office.Fleet().Class(name)
	if !ok {
		return class, vanillalug.NewProblem(http.StatusBadRequest, "no-such-class",
			"the class is not one of the fleet", vanillalug.WithField(ClassHeader))
	}
	return class, nil
}

// streamed answers with server-sent events. Once an event is out, a failure
// is told by an error event and the connection is cut, never ended cleanly.
func (c *CallerAPI) streamed(w http.ResponseWriter, r *http.Request, chat office.ChatRequest) *vanillalug.Problem {
	sink := newEventSink(w)
	p := c.office.ServeChat(r.Context(), chat, sink)
	if p == nil || !sink.begun {
		return p
	}
	countProblem(chat.Workspace, p)
	sink.fail(p)
	panic(http.ErrAbortHandler)
}

// whole answers with one body, once the answer is whole.
func (c *CallerAPI) whole(w http.ResponseWriter, r *http.Request, chat office.ChatRequest) *vanillalug.Problem {
	sink := newBodySink()
	if p := c.office.ServeChat(r.Context(), chat, sink); p != nil {
		return p
	}
	return sink.write(w, chat.Model)
}
