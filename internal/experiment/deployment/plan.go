package deployment

import (
	"fmt"
	"math/rand/v2"
	"strings"
)

// request is one request of the load.
type request struct {
	account int
	class   class
	// route is a model, the cascade or the service.
	route  string
	prompt string
	// session is the session id, or empty; requestKey is the request key of a
	// service call, or empty.
	session    string
	requestKey string
}

// fromLargeAccount reports whether a large account sends the request.
func (r request) fromLargeAccount() bool { return r.account < largeAccountCount }

// routeMix maps each route to its fraction of the requests.
type routeMix map[string]float64

var (
	usualMix = routeMix{modelSmall: 0.6, modelLarge: 0.2, cascadeAsk: 0.15, serviceDesk: 0.05}
	// routes fixes the order in which drawRoute visits the routes of a mix, so
	// that plans are repeatable.
	routes = []string{modelSmall, modelLarge, cascadeAsk, serviceDesk}
)

func onlyRoute(route string) routeMix { return routeMix{route: 1} }

const (
	// documentCount is the number of documents with which sessions of all accounts
	// start their prompts; wordsPerDocument is the length of each.
	documentCount    = 8
	wordsPerDocument = 300
	// turnsPerSession is the number of requests of a session.
	turnsPerSession = 4
	// sessionsPerAccount is the number of concurrent sessions of each account.
	sessionsPerAccount = 4
)

// planner draws requests from a seeded random source.
type planner struct {
	rnd          *rand.Rand
	mix          routeMix
	label        string
	sessions     [accountCount][sessionsPerAccount]sessionState
	sessionCount int
	requestCount int
}

// sessionState is the state of a session, whose prompt grows with each turn.
type sessionState struct {
	id     string
	prompt string
	turns  int
}

// planRequests draws n requests. Session ids and request keys contain the
// label, so that those of different cells differ.
func planRequests(n, seed int, label string, m routeMix) []request {
	p := &planner{rnd: rand.New(rand.NewPCG(uint64(seed), 1)), mix: m, label: fmt.Sprintf("%s-%d", label, seed)}
	list := make([]request, n)
	for i := range list {
		list[i] = p.next()
	}
	return list
}

func (p *planner) next() request {
	p.requestCount++
	r := request{account: p.drawAccount(), class: p.drawClass(), route: p.drawRoute()}
	if r.route == serviceDesk {
		r.requestKey = fmt.Sprintf("%s-%d", p.label, p.requestCount)
		return r
	}
	s := &p.sessions[r.account][p.rnd.IntN(sessionsPerAccount)]
	if s.turns%turnsPerSession == 0 {
		p.startSession(s)
	}
	s.turns++
	s.prompt += fmt.Sprintf(" turn %d asks about part %d", s.turns, p.rnd.IntN(1000))
	r.session = s.id
	r.prompt = fmt.Sprintf("%s tokens=%d", s.prompt, r.class.tokens)
	return r
}

func (p *planner) startSession(s *sessionState) {
	p.sessionCount++
	*s = sessionState{id: fmt.Sprintf("%s-%d", p.label, p.sessionCount), prompt: documentText(p.rnd.IntN(documentCount))}
}

// documentText returns the text of document n.
func documentText(n int) string {
	words := make([]string, wordsPerDocument)
	for i := range words {
		words[i] = fmt.Sprintf("s%di%d", n, i)
	}
	return strings.Join(words, " ")
}

func (p *planner) drawAccount() int {
	x := p.rnd.Float64()
	if x < largeAccountCount*largeShare {
		return int(x / largeShare)
	}
	return largeAccountCount + p.rnd.IntN(accountCount-largeAccountCount)
}

func (p *planner) drawClass() class {
	x := p.rnd.Float64()
	for _, c := range classes {
		if x -= c.share; x < 0 {
			return c
		}
	}
	return classes[len(classes)-1]
}

func (p *planner) drawRoute() string {
	x := p.rnd.Float64()
	last := ""
	for _, route := range routes {
		if p.mix[route] == 0 {
			continue
		}
		last = route
		if x -= p.mix[route]; x < 0 {
			return route
		}
	}
	return last
}
