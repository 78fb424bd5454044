package placement

// Prompt is what an engine reads for a request, in order.
type Prompt struct {
	// Parts may be kept by engines that read them before; a part counts as kept only
	// if all before it are.
	Parts []Part
	// Tokens is the size of all parts and of what belongs to none.
	Tokens int
	// Shared is the number of leading parts that other requests are likely to share.
	Shared int
}

// Part is a part of a prompt.
type Part struct {
	ID     string
	Tokens int
}

// missing is what an engine reads that keeps the first n parts.
func (p *Prompt) missing(n int) int {
	kept := 0
	for _, part := range p.Parts[:n] {
		kept += part.Tokens
	}
	return max(0, p.Tokens-kept)
}

// missingShared is the same of the shared parts only.
func (p *Prompt) missingShared(n int) int {
	missing := 0
	for _, part := range p.Parts[min(n, p.Shared):p.Shared] {
		missing += part.Tokens
	}
	return missing
}
