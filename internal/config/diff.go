package config

import (
	"fmt"
	"reflect"
	"strings"
)

// Diff lists the keys in which two configurations differ, in the order of the defaults.
func Diff(a, b *Config) []string { return diff(reflect.ValueOf(*a), reflect.ValueOf(*b), "") }

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
