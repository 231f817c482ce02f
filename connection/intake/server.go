package intake

import (
	"context"
	"net"
	"net/http"
)

// maxHeaderBytes bounds the head of a request in net/http, which then answers with status 431.
// RequestLimits may set a lower limit, at which the connection gets status 400.
const maxHeaderBytes = 1 << 20

type connKey struct{}

// NewServer returns a server for a Listener. connContext, if it is not nil, is called like
// http.Server.ConnContext. Time limits are those of the listener.
func NewServer(handler http.Handler, connContext func(context.Context, net.Conn) context.Context) *http.Server {
	return &http.Server{
		Handler:        trackPhases(handler),
		MaxHeaderBytes: maxHeaderBytes,
		ConnState: func(conn net.Conn, state http.ConnState) {
			if c, ok := conn.(*Conn); ok && state == http.StateIdle {
				c.becomeIdle()
			}
		},
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			if connContext != nil {
				ctx = connContext(ctx, conn)
			}
			return context.WithValue(ctx, connKey{}, conn)
		},
	}
}

// connOf returns the connection of a request, or nil if it did not come through a Listener.
func connOf(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}

// Admitted reports whether an EarlyAnswerer has admitted the request of a context.
func Admitted(ctx context.Context) bool {
	c := connOf(ctx)
	return c != nil && c.admitted
}

// trackPhases notes on the connection of each request whether its body has to arrive.
func trackPhases(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c := connOf(r.Context()); c != nil {
			next := phaseBusy
			if r.ContentLength != 0 {
				next = phaseBody
			}
			if !c.headArrived(next) {
				// Ends the connection without a response.
				panic(http.ErrAbortHandler)
			}
		}
		h.ServeHTTP(w, r)
	})
}
