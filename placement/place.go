package placement

import "time"

// Request is what is to be placed.
type Request struct {
	Model  string
	Prompt *Prompt
	// Target is the time within which the first event is to come; 0 if there is none.
	Target time.Duration
	// Way is the price of sending the request to another availability zone, RegionWay that of
	// sending it to another region besides.
	Way       time.Duration
	RegionWay time.Duration
	// Draw is a random number from 0 up to 1.
	Draw float64
}

// Candidate is an engine that may take the request.
type Candidate struct {
	// Ahead is the work that the engine does before it reads this prompt.
	Ahead time.Duration
	// Far says that the engine is in another availability zone.
	Far bool
	// Abroad says that it is in another region.
	Abroad bool
	// Kept is the number of leading parts that the engine keeps.
	Kept int
	// Order is the engine's place for this prompt's shared parts, the same on all hosts.
	Order uint64
}

// Choice is the engine that was chosen.
type Choice struct {
	// Index is its place in the list.
	Index int
	// Expected is the time to the first event.
	Expected time.Duration
	// Alone is the same on an engine that has nothing else to read, Reading the part of
	// it in which the engine reads for this prompt alone, and others wait.
	Alone   time.Duration
	Reading time.Duration
	// Missing is the number of tokens to be read.
	Missing int
	// Owner says that the prompt's shared parts belong to the engine.
	Owner bool
}

// targetless is the target of requests that have none.
const targetless = 2 * time.Second

// Place chooses an engine. The list isn't empty.
//
// Each engine has a price in time: its work for the request; the waiting, which weighs
// little far below the target and fully at it; and the way to another zone. Where prices
// are alike the owner of the shared parts is taken, on which all hosts agree without
// talking.
func Place(rates *Rates, r *Request, list []Candidate) Choice {
	here := r.here(rates)
	owner := owner(list, here)
	best := Choice{Index: -1}
	least := time.Duration(0)
	for i := range list {
		c := r.choice(rates, &list[i])
		c.Index, c.Owner = i, i == owner
		price := r.price(&c, &list[i])
		if here && c.Owner {
			price -= r.again(rates, &list[i]) // an outlay for the requests to come
		}
		if best.Index < 0 || price < least || price == least && list[i].Order > list[best.Index].Order {
			best, least = c, price
		}
	}
	return best
}

func (r *Request) choice(rates *Rates, c *Candidate) Choice {
	missing := r.Prompt.missing(c.Kept)
	alone := rates.Reading(r.Model, missing)
	return Choice{Expected: c.Ahead + alone, Alone: alone, Reading: overhead + rates.Work(r.Model, missing), Missing: missing}
}

func (r *Request) price(choice *Choice, c *Candidate) time.Duration {
	price := choice.Reading + r.waiting(choice.Expected)
	if c.Far {
		price += r.Way
	}
	if c.Abroad {
		price += r.RegionWay
	}
	return price
}

// again is the time that the engine takes to read the shared parts which it doesn't keep.
func (r *Request) again(rates *Rates, c *Candidate) time.Duration {
	return rates.Work(r.Model, r.Prompt.missingShared(c.Kept))
}

// waiting is the price of a time to the first event. Callers lose by it as it comes near
// the target: a tenth of the target costs a hundredth of it.
func (r *Request) waiting(expected time.Duration) time.Duration {
	target := r.Target
	if target <= 0 {
		target = targetless
	}
	return time.Duration(float64(expected) * float64(expected) / float64(target))
}

// here says whether the prompt's shared parts are to be read in this zone, where they
// belong to an engine of another one. Sending every request there costs its way each time,
// reading the parts once more in this zone costs that once, after which they are kept. So
// they are read here with the probability of one way's price against one reading's, which
// spends on ways about what one reading costs: little for parts that are asked for often
// or read fast, much only for long ones that are asked for now and then.
func (r *Request) here(rates *Rates) bool {
	reading := float64(rates.Work(r.Model, r.Prompt.missingShared(0)))
	return r.Draw*reading < float64(r.Way)
}

// owner is the engine that the prompt's shared parts belong to: one of all zones, or one
// of this zone if there is any.
func owner(list []Candidate, here bool) int {
	best := -1
	for i := range list {
		if here && list[i].Far {
			continue
		}
		if best < 0 || list[i].Order > list[best].Order {
			best = i
		}
	}
	if best < 0 {
		return owner(list, false)
	}
	return best
}
