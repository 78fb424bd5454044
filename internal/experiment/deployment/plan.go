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
	// session is empty without one; key is the request key of a service call.
	session string
	key     string
}

// large says whether a large account sends it.
func (r request) large() bool { return r.account < largeAccounts }

// mix is the part of the requests that each route gets.
type mix map[string]float64

var (
	usualMix = mix{modelSmall: 0.6, modelLarge: 0.2, cascadeAsk: 0.15, serviceDesk: 0.05}
	// routes fixes the order in which a mix is drawn from.
	routes = []string{modelSmall, modelLarge, cascadeAsk, serviceDesk}
)

func only(route string) mix { return mix{route: 1} }

const (
	// sheets is the number of stock sheets that sessions share, each of
	// sheetWords words.
	sheets     = 8
	sheetWords = 300
	// turns is the length of a session in requests.
	turns = 4
	// openSessions is how many sessions of each account go on at once.
	openSessions = 4
)

// planner draws requests from a seed.
type planner struct {
	rnd      *rand.Rand
	mix      mix
	label    string
	sessions [accounts][openSessions]conversation
	opened   int
	made     int
}

// conversation is a session whose prompt grows with each turn.
type conversation struct {
	id     string
	prompt string
	turns  int
}

// plan draws n requests. The label keeps sessions and keys of cells apart.
func plan(n, seed int, label string, m mix) []request {
	p := &planner{rnd: rand.New(rand.NewPCG(uint64(seed), 1)), mix: m, label: fmt.Sprintf("%s-%d", label, seed)}
	list := make([]request, n)
	for i := range list {
		list[i] = p.next()
	}
	return list
}

func (p *planner) next() request {
	p.made++
	r := request{account: p.account(), class: p.class(), route: p.route()}
	if r.route == serviceDesk {
		r.key = fmt.Sprintf("%s-%d", p.label, p.made)
		return r
	}
	c := &p.sessions[r.account][p.rnd.IntN(openSessions)]
	if c.turns%turns == 0 {
		p.open(c)
	}
	c.turns++
	c.prompt += fmt.Sprintf(" turn %d asks about part %d", c.turns, p.rnd.IntN(1000))
	r.session = c.id
	r.prompt = fmt.Sprintf("%s tokens=%d", c.prompt, r.class.tokens)
	return r
}

func (p *planner) open(c *conversation) {
	p.opened++
	*c = conversation{id: fmt.Sprintf("%s-%d", p.label, p.opened), prompt: sheet(p.rnd.IntN(sheets))}
}

// sheet is the text of a stock sheet.
func sheet(n int) string {
	words := make([]string, sheetWords)
	for i := range words {
		words[i] = fmt.Sprintf("s%di%d", n, i)
	}
	return strings.Join(words, " ")
}

func (p *planner) account() int {
	x := p.rnd.Float64()
	if x < largeAccounts*largeShare {
		return int(x / largeShare)
	}
	return largeAccounts + p.rnd.IntN(accounts-largeAccounts)
}

func (p *planner) class() class {
	x := p.rnd.Float64()
	for _, c := range classes {
		if x -= c.share; x < 0 {
			return c
		}
	}
	return classes[len(classes)-1]
}

func (p *planner) route() string {
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
