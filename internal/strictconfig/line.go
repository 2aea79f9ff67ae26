package strictconfig

// Finding the line of a key in a TOML text, for keys that the decoder accepts and a later check rejects.

import (
	"fmt"
	"strings"
)

// LineOf returns the line number, from 1, of a dotted key or of a table's header. It returns 0 if no line has the key in this
// form, for example because the key is in an inline table. A key without indexes matches the first table of an array.
func LineOf(text, key string) int {
	counts := map[string]int{} // number of tables so far in each array of tables, by name
	table := ""                // the current table's name and a dot
	for i, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		switch {
		case strings.HasPrefix(line, "[["):
			name := tableName(line)
			table = fmt.Sprintf("%s[%d].", name, counts[name])
			counts[name]++
		case strings.HasPrefix(line, "["):
			table = tableName(line) + "."
		}
		name, _, isAssignment := strings.Cut(line, "=")
		if isAssignment && matches(table+strings.TrimSpace(name), key) {
			return i + 1
		}
		header := strings.TrimSuffix(table, ".")
		if header == key || withoutIndexes(header) == key && key != "" {
			return i + 1
		}
	}
	return 0
}

// tableName returns the name in a table's header, as in [name] or [[name]].
func tableName(header string) string {
	return strings.TrimSpace(strings.Trim(strings.SplitN(header, "]", 2)[0], "["))
}

// matches reports whether key is full, with or without the indexes of arrays of tables.
func matches(full, key string) bool { return full == key || withoutIndexes(full) == key }

// withoutIndexes drops the indexes of arrays of tables: class[0].name becomes class.name.
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
