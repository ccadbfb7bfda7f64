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

// chat serves a chat completions request.
func (c *CallerAPI) chat(w http.ResponseWriter, r *http.Request, ws vanillalug.Workspace) *vanillalug.Problem {
	body, p := c.readBody(w, r, chatBodyCopies)
	if p != nil {
		return p
	}
	q, p := parseChat(body)
	if p != nil {
		return p
	}
	class, p := c.requestClass(r, ws)
	if p != nil {
		return p
	}
	if !ws.MayUseModel(q.model) || len(c.router.Fleet().EnginesFor(q.model)) == 0 {
		return vanillalug.NewProblem(http.StatusNotFound, "no-such-model",
			"the model is not one of this workspace", vanillalug.WithField("model"))
	}
	key := q.chatKey(ws.Name(), r.Header.Get(ChatHeader))
	engineBody, err := q.engineBody(key, class.Priority())
	if err != nil {
		return vanillalug.NewProblem(http.StatusBadRequest, "bad-request", err.Error(), vanillalug.WithField("body"))
	}
	chat := office.ChatRequest{
		Workspace: ws, Class: class.Name(), Model: q.model, Key: key,
		Returning: q.returning(), Body: engineBody,
	}
	if q.stream {
		return c.streamChat(w, r, chat)
	}
	return c.completeChat(w, r, chat)
}

func (c *CallerAPI) requestClass(r *http.Request, ws vanillalug.Workspace) (vanillalug.Class, *vanillalug.Problem) {
	name := r.Header.Get(ClassHeader)
	if name == "" {
		name = ws.Class()
	}
	class, ok := c.router.Fleet().Class(name)
	if !ok {
		return class, vanillalug.NewProblem(http.StatusBadRequest, "no-such-class",
			"the class is not one of the fleet", vanillalug.WithField(ClassHeader))
	}
	return class, nil
}

// streamChat responds with server-sent events. After the first event, a failure
// is reported by an error event and the connection is aborted, so that the
// caller can't take the response for a complete one.
func (c *CallerAPI) streamChat(w http.ResponseWriter, r *http.Request, chat office.ChatRequest) *vanillalug.Problem {
	sink := newEventSink(w)
	p := c.router.ServeChat(r.Context(), chat, sink)
	if p == nil || !sink.started {
		return p
	}
	countProblem(chat.Workspace, p)
	sink.writeError(p)
	panic(http.ErrAbortHandler)
}

// completeChat responds with one body, once the response is complete.
func (c *CallerAPI) completeChat(w http.ResponseWriter, r *http.Request, chat office.ChatRequest) *vanillalug.Problem {
	sink := newBodySink()
	if p := c.router.ServeChat(r.Context(), chat, sink); p != nil {
		return p
	}
	return sink.write(w, chat.Model)
}
