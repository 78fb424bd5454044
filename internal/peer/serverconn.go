package peer

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/sourcegraph/jsonrpc2"
)

// serverConn implements jsonrpc2.Handler for one connection. callSlots is a semaphore
// that holds one element for each running call.
type serverConn struct {
	server    *Server
	callerID  string
	callSlots chan struct{}
}

// Handle implements jsonrpc2.Handler. While all call slots are in use it blocks
// reading from the connection, so that TCP flow control slows the caller down.
func (c *serverConn) Handle(ctx context.Context, conn *jsonrpc2.Conn, request *jsonrpc2.Request) {
	select {
	case c.callSlots <- struct{}{}:
	case <-ctx.Done():
		return
	}
	if !c.server.beginCall() {
		<-c.callSlots
		conn.ReplyWithError(ctx, request.ID, wireError(&CallError{Code: CodeStopping, Message: "host is stopping"}))
		return
	}
	go func() {
		defer c.server.activeCalls.Done()
		defer func() { <-c.callSlots }()
		c.handleAndReply(ctx, conn, request)
	}()
}

func (c *serverConn) handleAndReply(ctx context.Context, conn *jsonrpc2.Conn, request *jsonrpc2.Request) {
	result, err := c.invokeHandler(ctx, request)
	if request.Notif {
		return
	}
	response := &jsonrpc2.Response{ID: request.ID}
	if err == nil {
		err = response.SetResult(result)
	}
	if err != nil {
		response.Result = nil
		response.Error = wireError(err)
	}
	err = conn.SendResponse(ctx, response)
	if errors.Is(err, ErrTooLarge) {
		conn.ReplyWithError(ctx, request.ID, wireError(err))
	}
}

func (c *serverConn) invokeHandler(ctx context.Context, request *jsonrpc2.Request) (any, error) {
	handler, ok := c.server.handler(request.Method)
	if !ok {
		return nil, &CallError{Code: CodeMethodNotFound, Message: "method not found"}
	}
	var params json.RawMessage
	if request.Params != nil {
		params = *request.Params
	}
	return handler.Handle(ctx, c.callerID, params)
}

func wireError(err error) *jsonrpc2.Error {
	var e *CallError
	if errors.As(err, &e) {
		return &jsonrpc2.Error{Code: e.Code, Message: e.Message}
	}
	return &jsonrpc2.Error{Code: CodeHandler, Message: err.Error()}
}
