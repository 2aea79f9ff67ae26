package config

// Comparing two configurations by key.

import (
	"fmt"
	"reflect"
	"strings"
)

// Diff returns the keys in which two configurations differ, dotted, in the order of the fields of Config.
func Diff(a, b *Config) []string { return diff(reflect.ValueOf(*a), reflect.ValueOf(*b), "") }

// diff compares two values of one type, whose key is key. It descends into tables, and into arrays of tables of equal length.
func diff(a, b reflect.Value, key string) (keys []string) {
	switch t := a.Type(); {
	case t.Kind() == reflect.Struct && t != reflect.TypeFor[Zones]():
		for i := range t.NumField() {
			if name := t.Field(i).Tag.Get("toml"); name != "" {
				keys = append(keys, diff(a.Field(i), b.Field(i), strings.TrimPrefix(key+"."+name, "."))...)
			}
		}
	case t.Kind() == reflect.Slice && t.Elem().Kind() == reflect.Struct && a.Len() == b.Len():
		for i := range a.Len() {
			keys = append(keys, diff(a.Index(i), b.Index(i), fmt.Sprintf("%s[%d]", key, i))...)
		}
	case !reflect.DeepEqual(a.Interface(), b.Interface()):
		keys = []string{key}
	}
	return keys
}
