package strictconfig

import (
	"errors"
	"testing"
	"time"
)

const document = `name = "a"
wait = "250ms"
inline = {key = 1}
[limits]
cores = 1.5
[[class]]
name = "get"
[[class]]
name = "put"
`

// decoded is the type that document decodes into.
type decoded struct {
	Name   string              `toml:"name"`
	Wait   Duration            `toml:"wait"`
	Inline struct{ Key int }   `toml:"inline"`
	Limits struct{ Cores any } `toml:"limits"`
	Class  []struct{ Name string }
}

func TestDecodeReturnsErrorWithFileLineAndKey(t *testing.T) {
	for _, c := range []struct {
		text string
		want Error // Message is not compared
	}{
		{"name = \"a\"\nnmae = \"b\"", Error{File: "f", Line: 2, Key: "nmae"}},
		{"\nname = 3", Error{File: "f", Line: 2, Key: "name"}},
		{"[limits]\ncore = 1", Error{File: "f", Line: 2, Key: "limits.core"}},
		{"wait = \"soon\"", Error{File: "f", Line: 1, Key: "wait"}},
		{"name = \"a\"\nname = \"b\"", Error{File: "f", Line: 2, Key: "name"}},
	} {
		var got *Error
		if err := Decode("f", c.text, &decoded{}); !errors.As(err, &got) {
			t.Errorf("%q: error %v, want an *Error", c.text, err)
		} else if got.File != c.want.File || got.Line != c.want.Line || got.Key != c.want.Key || got.Message == "" {
			t.Errorf("%q: %+v, want %+v", c.text, got, c.want)
		}
	}
	var v decoded
	if err := Decode("f", document, &v); err != nil || v.Name != "a" || v.Wait.Duration() != 250*time.Millisecond || len(v.Class) != 2 {
		t.Errorf("decoded %+v, error %v; want name a, wait 250ms and two classes", v, err)
	}
}

func TestLineOfFindsKeysTablesAndIndexes(t *testing.T) {
	for key, want := range map[string]int{
		"name": 1, "wait": 2, "inline": 3, "inline.key": 0, "limits": 4, "limits.cores": 5, "class": 6, "class[0]": 6,
		"class[0].name": 7, "class.name": 7, "class[1]": 8, "class[1].name": 9, "class[2]": 0, "none": 0,
	} {
		if got := LineOf(document, key); got != want {
			t.Errorf("%s: line %d, want %d", key, got, want)
		}
	}
}

func TestErrorOmitsUnknownParts(t *testing.T) {
	for _, c := range []struct {
		err  error
		want string
	}{
		{ErrorAt("f", document, "limits.cores", "%v is too much", 1.5), "f:5: limits.cores: 1.5 is too much"},
		{ErrorAt("f", document, "limits.memory", "is required"), "f: limits.memory: is required"},
		{&Error{File: "f", Message: "9 bytes"}, "f: 9 bytes"},
	} {
		if c.err.Error() != c.want {
			t.Errorf("%q, want %q", c.err, c.want)
		}
	}
}

func TestDurationIsReadAndWrittenAsText(t *testing.T) {
	var d Duration
	if err := d.UnmarshalText([]byte("1.5s")); err != nil || d.Duration() != 1500*time.Millisecond {
		t.Errorf("parsed %v, error %v; want 1.5s", d.Duration(), err)
	}
	if text, err := d.MarshalText(); err != nil || string(text) != "1.5s" {
		t.Errorf("text %q, error %v; want 1.5s", text, err)
	}
	if err := d.UnmarshalText([]byte("1.5")); err == nil {
		t.Error("a number without a unit is accepted")
	}
}
