package forms

import (
	"bytes"
	"encoding"
	"encoding/hex"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/BurntSushi/toml"
)

// Helpers that compare values with the files in testdata, and that generate values to encode.

var update = flag.Bool("update", false, "rewrite the files in testdata; fails where CI is set")

// golden compares got with a file in testdata, or writes got to the file if -update is set.
func golden(t *testing.T, name string, got []byte) {
	t.Helper()
	file := filepath.Join("testdata", name)
	if *update {
		if os.Getenv("CI") != "" {
			t.Fatal("-update must not be used where CI is set")
		}
		if err := os.WriteFile(file, got, 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	want, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("%s differs.\ngot:\n%s\nwant:\n%s", name, got, want)
	}
}

// goldenHex compares bytes with a file of hexadecimal digits, 64 in a line.
func goldenHex(t *testing.T, name string, got []byte) {
	t.Helper()
	var text bytes.Buffer
	for digits := hex.EncodeToString(got); digits != ""; {
		n := min(len(digits), 64)
		text.WriteString(digits[:n] + "\n")
		digits = digits[n:]
	}
	golden(t, name, text.Bytes())
}

// goldenJSON compares a value's indented JSON with a file.
func goldenJSON(t *testing.T, name string, v any) {
	t.Helper()
	text, err := json.MarshalIndent(v, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	golden(t, name, append(text, '\n'))
}

// stored returns the contents of a file in testdata.
func stored(t *testing.T, name string) []byte {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// storedHex returns the bytes in a file that goldenHex has written.
func storedHex(t *testing.T, name string) []byte {
	t.Helper()
	data, err := hex.DecodeString(strings.ReplaceAll(string(stored(t, name)), "\n", ""))
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// filled returns a value with all exported fields set. Each number and each string has a different value.
func filled[T any]() *T {
	v := new(T)
	n := 0
	fill(reflect.ValueOf(v).Elem(), &n)
	return v
}

// fill sets v and its exported fields to values derived from n, which counts the values that fill has visited.
func fill(v reflect.Value, n *int) {
	if !v.CanSet() {
		return
	}
	*n++
	if v.Type() == reflect.TypeFor[time.Time]() {
		v.Set(reflect.ValueOf(time.Unix(int64(*n), 0).UTC()))
		return
	}
	switch v.Kind() {
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		v.SetInt(int64(*n))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64, reflect.Uintptr:
		v.SetUint(uint64(*n))
	case reflect.Float32, reflect.Float64:
		v.SetFloat(float64(*n) + 0.5)
	case reflect.String:
		v.SetString(fmt.Sprint("s", *n))
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(v.Elem(), n)
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		fill(v.Index(0), n)
	case reflect.Array:
		for i := range v.Len() {
			fill(v.Index(i), n)
		}
	case reflect.Map:
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		fill(key, n)
		fill(value, n)
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(key, value)
	case reflect.Struct:
		for i := range v.NumField() {
			fill(v.Field(i), n)
		}
	}
}

// tomlKeys returns the TOML keys that decode into a type, each with the kind of its value. key is the prefix.
func tomlKeys(t reflect.Type, key string) (list []string) {
	decodes := reflect.PointerTo(t).Implements(reflect.TypeFor[encoding.TextUnmarshaler]()) ||
		reflect.PointerTo(t).Implements(reflect.TypeFor[toml.Unmarshaler]())
	switch {
	case decodes:
		return []string{key + " text"}
	case t.Kind() == reflect.Slice && t.Elem().Kind() == reflect.Struct:
		return tomlKeys(t.Elem(), key+"[]")
	case t.Kind() == reflect.Map:
		return tomlKeys(t.Elem(), key+".*")
	case t.Kind() != reflect.Struct:
		return []string{key + " " + t.Kind().String()}
	}
	for i := range t.NumField() {
		f := t.Field(i)
		name, tagged := f.Tag.Lookup("toml")
		switch {
		case name == "-" || !f.IsExported():
			continue
		case f.Anonymous && !tagged:
			list = append(list, tomlKeys(f.Type, key)...)
			continue
		case !tagged:
			name = f.Name
		}
		list = append(list, tomlKeys(f.Type, strings.TrimPrefix(key+"."+name, "."))...)
	}
	return list
}

// goldenKeys compares the TOML keys of a type with a file.
func goldenKeys[T any](t *testing.T, name string) {
	t.Helper()
	golden(t, name, []byte(strings.Join(tomlKeys(reflect.TypeFor[T](), ""), "\n")+"\n"))
}

// equal fails the test if got and want are not deeply equal.
func equal(t *testing.T, what string, got, want any) {
	t.Helper()
	if !reflect.DeepEqual(got, want) {
		t.Errorf("%s:\ngot  %+v\nwant %+v", what, got, want)
	}
}
