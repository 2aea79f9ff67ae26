package strictconfig

import (
	"fmt"
	"strings"
)

// LineOf is the line on which a dotted key stands; 0: on none. Where arrays of tables are not counted in the
// key, the first that has it.
func LineOf(text, key string) int {
	counts := map[string]int{}
	table := ""
	for i, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		switch {
		case strings.HasPrefix(line, "[["):
			name := strings.TrimSpace(strings.Trim(strings.SplitN(line, "]", 2)[0], "["))
			table = fmt.Sprintf("%s[%d].", name, counts[name])
			counts[name]++
		case strings.HasPrefix(line, "["):
			table = strings.TrimSpace(strings.Trim(strings.SplitN(line, "]", 2)[0], "[")) + "."
		}
		name, _, assigned := strings.Cut(line, "=")
		if full := table + strings.TrimSpace(name); assigned && (full == key || withoutIndexes(full) == key) ||
			strings.TrimSuffix(table, ".") == key || withoutIndexes(strings.TrimSuffix(table, ".")) == key && key != "" {
			return i + 1
		}
	}
	return 0
}

// withoutIndexes drops the counts of tables in arrays.
func withoutIndexes(key string) string {
	var b strings.Builder
	depth := 0
	for _, r := range key {
		switch {
		case r == '[':
			depth++
		case r == ']':
			depth--
		case depth == 0:
			b.WriteRune(r)
		}
	}
	return b.String()
}
