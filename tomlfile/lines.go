package tomlfile

import (
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// keyLines maps each key of a text, such as "teams[2].share", to its line.
// Text that does not parse gives the keys before the fault.
func keyLines(data []byte) map[string]int {
	lines := map[string]int{}
	counts := map[string]int{}
	table := ""
	var p unstable.Parser
	p.Reset(data)
	for p.NextExpression() {
		e := p.Expression()
		parts, line := expressionKey(&p, e)
		if len(parts) == 0 {
			continue
		}
		key := joinKey(parts)
		switch e.Kind {
		case unstable.Table:
			table = key
		case unstable.ArrayTable:
			table = fmt.Sprintf("%s[%d]", key, counts[key])
			counts[key]++
			key = table
		default:
			key = joinKey([]string{table, key})
		}
		lines[key] = line
	}
	return lines
}

// expressionKey returns the parts of an expression's key and its line.
func expressionKey(p *unstable.Parser, e *unstable.Node) ([]string, int) {
	var parts []string
	line := 0
	it := e.Key()
	for it.Next() {
		n := it.Node()
		if line == 0 {
			line = p.Shape(n.Raw).Start.Line
		}
		parts = append(parts, string(n.Data))
	}
	return parts, line
}

func joinKey(parts []string) string {
	var kept []string
	for _, p := range parts {
		if p != "" {
			kept = append(kept, p)
		}
	}
	return strings.Join(kept, ".")
}

// parentKey drops the last part of a key: "teams[2].share" gives "teams[2]".
func parentKey(key string) string {
	if i := strings.LastIndexByte(key, '.'); i >= 0 {
		return key[:i]
	}
	return ""
}
