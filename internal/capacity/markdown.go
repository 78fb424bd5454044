package capacity

import (
	"fmt"
	"math"
	"strings"
)

// Markdown returns the generated tables of docs/CAPACITY.md.
func Markdown(slopes *Slopes) string {
	var b strings.Builder
	writeSizes(&b)
	roles := Roles()
	writeUsage(&b, "As built, today", roles, NewModel(Today(), slopes), asBuilt)
	writeUsage(&b, "As built, full size", roles, NewModel(Full(), slopes), asBuilt)
	writeUsage(&b, "With the mechanisms, full size", roles, NewModel(Full(), slopes), carried)
	writeData(&b, roles, slopes)
	writeLimits(&b, roles, slopes)
	writeOutage(&b, slopes)
	writeRows(&b)
	writeCheck(&b, roles, slopes)
	writeRoleSlopes(&b, roles, slopes)
	writeExtrapolations(&b, roles, slopes)
	writeSlopes(&b, slopes)
	return b.String()
}

// table starts a section with a table.
func table(b *strings.Builder, title, intro string, columns ...string) {
	fmt.Fprintf(b, "### %s\n\n", title)
	if intro != "" {
		fmt.Fprintf(b, "%s\n\n", intro)
	}
	row(b, columns...)
	rules := make([]string, len(columns))
	for i := range rules {
		rules[i] = "---"
	}
	row(b, rules...)
}

func row(b *strings.Builder, cells ...string) {
	fmt.Fprintf(b, "| %s |\n", strings.Join(cells, " | "))
}

func writeSizes(b *strings.Builder) {
	table(b, "Sizes", "", "", "today", "full")
	today, full := Today(), Full()
	line := func(name string, of func(Size) float64) {
		row(b, name, number(of(today)), number(of(full)))
	}
	line("entry hosts", func(s Size) float64 { return s.Hosts })
	line("availability zones", func(s Size) float64 { return s.Zones })
	line("regions", func(s Size) float64 { return s.Regions })
	line("upstreams", func(s Size) float64 { return s.Upstreams })
	line("pools", func(s Size) float64 { return s.Pools })
	line("client accounts", func(s Size) float64 { return s.Accounts })
	line("versions", func(s Size) float64 { return s.Versions })
	line("rolling in at a time", func(s Size) float64 { return s.RollingIn })
	line("requests/s", func(s Size) float64 { return s.Requests })
	line("tokens/s", func(s Size) float64 { return s.Tokens })
	line("manifests a day", func(s Size) float64 { return s.Changes })
	line("restarts a day", func(s Size) float64 { return s.Restarts })
	line("requests/s a host", Size.requestsPerHost)
	line("tokens/s a host", Size.tokensPerHost)
	line("answers under way a host, all at p95", Size.streamsPerHost)
	b.WriteString("\n")
}

func writeUsage(b *strings.Builder, title string, roles []Role, m *Model, use func(Role, *Model) Usage) {
	table(b, title, "", "role", "state", "messages/s", "B/s", "% of a core", "commits/s, all hosts", "reads/s, all hosts", "over the budget")
	line := func(name string, u Usage) {
		row(b, name, size(u.State), number(u.Messages), size(u.Bytes), number(percent*u.CPU),
			number(u.Commits), number(u.Reads), excesses(Limits().over(u)))
	}
	for _, r := range roles {
		line(r.Name, use(r, m))
	}
	line("**sum**", total(roles, m, use))
	limits := Limits()
	row(b, "*budget*", size(limits.Memory), "", size(limits.Bytes), number(percent*limits.CPU), number(limits.Commits), number(limits.Reads), "")
	b.WriteString("\n")
}

const percent = 100

func excesses(list []Excess) string {
	parts := make([]string, len(list))
	for i, e := range list {
		parts[i] = fmt.Sprintf("%s × %s", e.Resource, number(e.Factor))
	}
	return strings.Join(parts, ", ")
}

func writeData(b *strings.Builder, roles []Role, slopes *Slopes) {
	table(b, "Data path", "For one host; not in the control's budget.",
		"role", "memory, today", "B/s, today", "% of a core, today", "memory, full", "B/s, full", "% of a core, full")
	today, full := NewModel(Today(), slopes), NewModel(Full(), slopes)
	line := func(name string, t, f Usage) {
		row(b, name, size(t.DataState), size(t.DataBytes), number(percent*t.DataCPU),
			size(f.DataState), size(f.DataBytes), number(percent*f.DataCPU))
	}
	for _, r := range roles {
		t, f := r.AsBuilt(today), r.AsBuilt(full)
		if t.DataBytes+t.DataCPU+t.DataState > 0 {
			line(r.Name, t, f)
		}
	}
	line("**sum**", total(roles, today, asBuilt), total(roles, full, asBuilt))
	b.WriteString("\n")
}

func writeLimits(b *strings.Builder, roles []Role, slopes *Slopes) {
	table(b, "First limits and what carries each role",
		"The size at which a role alone meets a part of the budget, on the line between the two sizes and up to ten times the full one.",
		"role", "keeps", "first limit as built", "with the mechanism", "mechanism", "status")
	for _, r := range roles {
		row(b, r.Name, r.State, limitText(slopes, r.AsBuilt), limitText(slopes, r.carried), r.Mechanism, string(r.Status))
	}
	sum := func(use func(Role, *Model) Usage) func(*Model) Usage {
		return func(m *Model) Usage { return total(roles, m, use) }
	}
	row(b, "**all**", "", limitText(slopes, sum(asBuilt)), limitText(slopes, sum(carried)), "", "")
	b.WriteString("\n")
}

func limitText(slopes *Slopes, use func(*Model) Usage) string {
	limit, ok := firstLimit(slopes, use)
	if !ok {
		return fmt.Sprintf("none up to %s hosts", number(largest))
	}
	at := Between(limit.Hosts)
	return fmt.Sprintf("%s, at %s hosts and %s upstreams", limit.Resource, number(limit.Hosts), number(at.Upstreams))
}

func writeOutage(b *strings.Builder, slopes *Slopes) {
	table(b, "While the table is down", "Each host asks all others for their manifest, beside the rest.",
		"", "messages/s", "B/s", "% of a core", "over the budget")
	for _, s := range []Size{Today(), Full()} {
		u := viewsInOutage(NewModel(s, slopes))
		row(b, number(s.Hosts)+" hosts", number(u.Messages), size(u.Bytes), number(percent*u.CPU), excesses(Limits().over(u)))
	}
	limit := limitText(slopes, viewsInOutage)
	fmt.Fprintf(b, "\nFirst limit: %s.\n\n", limit)
}

// writeCheck compares whole hosts with the sum of their parts.
func writeCheck(b *strings.Builder, roles []Role, slopes *Slopes) {
	table(b, "Check against a whole host",
		"One host without requests, measured as a whole with its platform and upstreams in one process, and the sum of the parts that such a host has.",
		"upstreams", "% of a core, measured", "% of a core, sum", "memory, measured")
	idle, _ := slopes.find(IdleCPU)
	memory, _ := slopes.find(IdleMemory)
	for i, p := range idle.Points {
		s := Size{Hosts: 1, Zones: 1, Regions: 1, Upstreams: p.X, Pools: 1, Accounts: 1, Versions: 3}
		var sum float64
		for _, r := range roles {
			if r.Name == "load reports" || r.Name == "host list" || r.Name == "membership and facts" || r.Name == "manifest" {
				sum += r.AsBuilt(NewModel(s, slopes)).CPU
			}
		}
		row(b, number(p.X), number(percent*p.Y*micro), number(percent*sum), size(memory.Points[i].Y))
	}
	b.WriteString("\n")
}

func writeRoleSlopes(b *strings.Builder, roles []Role, slopes *Slopes) {
	table(b, "Slopes behind each role", "", "role", "slopes")
	for _, r := range roles {
		m := NewModel(Full(), slopes)
		r.AsBuilt(m)
		r.carried(m)
		names := make([]string, 0, len(m.used))
		for _, id := range m.ids() {
			names = append(names, "`"+string(id)+"`")
		}
		row(b, r.Name, strings.Join(names, ", "))
	}
	b.WriteString("\n")
}

func writeExtrapolations(b *strings.Builder, roles []Role, slopes *Slopes) {
	table(b, "Extrapolated", "Slopes that the full size uses beyond what was measured.",
		"role", "slope", "varied", "measured up to", "used at", "factor")
	for _, r := range roles {
		m := NewModel(Full(), slopes)
		r.AsBuilt(m)
		for _, e := range m.extrapolated() {
			slope, _ := slopes.find(e.ID)
			row(b, r.Name, "`"+string(e.ID)+"`", slope.Varied, number(e.Measured), number(e.Used), number(e.Used/e.Measured))
		}
	}
	b.WriteString("\n")
}

func writeSlopes(b *strings.Builder, slopes *Slopes) {
	intro := fmt.Sprintf("Measured at %s by `%s` on %s with %s, revision %s; load of the machine %s before and %s after. "+
		"A point's distance from the line is at most the stated part of it.",
		slopes.Date, slopes.command(), slopes.Machine, slopes.Go, slopes.Revision, number(slopes.LoadBefore), number(slopes.LoadAfter))
	table(b, "Measured slopes", intro, "slope", "unit", "base", "rise", "for each of", "measured from", "to", "off the line", "what")
	for _, s := range slopes.List {
		if s.Varied == "" {
			row(b, "`"+string(s.ID)+"`", s.Unit, number(s.Base), "", "", "", "", "", s.Note)
			continue
		}
		low, high := s.Range()
		row(b, "`"+string(s.ID)+"`", s.Unit, number(s.Base), number(s.Rise), s.Varied, number(low), number(high),
			number(percent*s.Deviation)+"%", s.Note)
	}
}

func (s *Slopes) command() string {
	if len(s.List) == 0 {
		return ""
	}
	return s.List[0].Command
}

// number prints three significant digits.
func number(x float64) string {
	switch a := abs(x); {
	case x == 0:
		return "0"
	case a >= 1000:
		return grouped(x)
	case a >= 100:
		return fmt.Sprintf("%.0f", x)
	case a >= 10:
		return trimZeros(fmt.Sprintf("%.1f", x))
	case a >= 1:
		return trimZeros(fmt.Sprintf("%.2f", x))
	default:
		return fmt.Sprintf("%.2g", x)
	}
}

func trimZeros(text string) string {
	return strings.TrimSuffix(strings.TrimRight(text, "0"), ".")
}

// grouped prints three significant digits of a large number with commas.
func grouped(x float64) string {
	if x < 0 {
		return "-" + grouped(-x)
	}
	unit := math.Pow(10, math.Floor(math.Log10(x))-2)
	digits := fmt.Sprintf("%.0f", math.Round(x/unit)*unit)
	for i := len(digits) - 3; i > 0; i -= 3 {
		digits = digits[:i] + "," + digits[i:]
	}
	return digits
}

// size prints bytes.
func size(x float64) string {
	const k = 1000
	switch a := abs(x); {
	case x == 0:
		return "0"
	case a >= k*k*k:
		return number(x/k/k/k) + " GB"
	case a >= k*k:
		return number(x/k/k) + " MB"
	case a >= k:
		return number(x/k) + " KB"
	default:
		return number(x) + " B"
	}
}
