package entry

import (
	"context"
	"strings"

	"github.com/google/uuid"

	"github.com/quetzalweir/quetzalweir/resultcode"
	"github.com/quetzalweir/quetzalweir/session"
)

const (
	// newSession asks for a session with an id made by the host.
	newSession = "new"
	// tokenPrefix tells a token from a bare session id.
	tokenPrefix = "qzt."
	// tokenSeparator stands between the tokens of a session that uses several
	// models, as a cascade does.
	tokenSeparator = ","
	// maxSessionTokens bounds the tokens in one header.
	maxSessionTokens = 8
	// maxSessionID is the longest session id, in bytes.
	maxSessionID = 128
)

// bindSession reads the session that the caller named. The version is chosen
// later; this filter only finds what the session is bound to.
type bindSession struct {
	codec *session.Codec
}

// Serve implements Filter.
func (f *bindSession) Serve(ctx context.Context, r *Request, next Next) error {
	if err := f.read(r); err != nil {
		return err
	}
	return next(ctx, r)
}

func (f *bindSession) read(r *Request) error {
	switch {
	case r.SessionArg == "":
		return nil
	case r.SessionArg == newSession:
		r.Session.ID = uuid.NewString()
		r.Session.Fresh = true
		return nil
	case strings.HasPrefix(r.SessionArg, tokenPrefix):
		return f.openTokens(r)
	case len(r.SessionArg) > maxSessionID:
		return resultcode.New(resultcode.BadSessionToken, "a session id has at most %d bytes", maxSessionID)
	default:
		r.Session.ID = r.SessionArg
		return nil
	}
}

func (f *bindSession) openTokens(r *Request) error {
	tokens := strings.Split(r.SessionArg, tokenSeparator)
	if len(tokens) > maxSessionTokens {
		return resultcode.New(resultcode.BadSessionToken, "a session has at most %d tokens", maxSessionTokens)
	}
	for _, token := range tokens {
		token = strings.TrimPrefix(strings.TrimSpace(token), tokenPrefix)
		b, err := f.codec.Open(token, r.Account.Name)
		if err != nil {
			return resultcode.Wrap(resultcode.BadSessionToken, err, "the session token isn't valid")
		}
		if r.Session.ID != "" && r.Session.ID != b.SessionID {
			return resultcode.New(resultcode.BadSessionToken, "the tokens are of different sessions")
		}
		r.Session.ID = b.SessionID
		r.Session.Bindings = append(r.Session.Bindings, b)
	}
	return nil
}

// SessionState is the session of a request; the zero value is no session.
type SessionState struct {
	// ID is empty without a session.
	ID string
	// Fresh says that the host made the id, so that no other binding of it
	// can exist.
	Fresh bool
	// Bindings holds the version of each model that the session uses.
	Bindings []session.Binding
	// Transient says that a binding of a bare id couldn't be stored: it lasts
	// only with the token.
	Transient bool
	// Moved names what the session lost to a withdrawal, as "model@version".
	Moved string
}

// Binding returns the session's binding for a model.
func (s *SessionState) Binding(model string) (session.Binding, bool) {
	for _, b := range s.Bindings {
		if b.Model == model {
			return b, true
		}
	}
	return session.Binding{}, false
}

// bind sets the session's binding for b's model.
func (s *SessionState) bind(b session.Binding) {
	for i := range s.Bindings {
		if s.Bindings[i].Model == b.Model {
			s.Bindings[i] = b
			return
		}
	}
	s.Bindings = append(s.Bindings, b)
}

// tokens returns the header value that keeps the session.
func (s *SessionState) tokens(codec *session.Codec) string {
	minted := make([]string, len(s.Bindings))
	for i, b := range s.Bindings {
		minted[i] = tokenPrefix + codec.Mint(b)
	}
	return strings.Join(minted, tokenSeparator)
}
