package placement

// Prompt is the input of a model request, divided into cacheable parts.
type Prompt struct {
	// Parts are the parts in order. Engines cache prefixes, so a part counts as cached only
	// if all parts before it are cached.
	Parts []Part
	// Tokens is the size of the whole prompt, including text that belongs to no part.
	Tokens int
	// SharedParts is the number of leading parts that other requests probably contain.
	SharedParts int
}

// Part is a section of a prompt that engines can cache.
type Part struct {
	ID     string
	Tokens int
}

// uncachedTokens returns the number of tokens to prefill if the first n parts are cached.
func (p *Prompt) uncachedTokens(n int) int {
	cached := 0
	for _, part := range p.Parts[:n] {
		cached += part.Tokens
	}
	return max(0, p.Tokens-cached)
}

// uncachedSharedTokens returns the number of tokens of the shared parts to prefill if the
// first n parts are cached.
func (p *Prompt) uncachedSharedTokens(n int) int {
	uncached := 0
	for _, part := range p.Parts[min(n, p.SharedParts):p.SharedParts] {
		uncached += part.Tokens
	}
	return uncached
}
