package balancer_test

// Tests of the validation of settings.

import (
	"errors"
	"strings"
	"testing"

	"martenbeam/balancer"
)

func TestNewRejectsSettings(t *testing.T) {
	tests := []struct {
		name string
		edit func(*balancer.Settings)
		want string
	}{
		{"no classes", func(s *balancer.Settings) { s.Classes = nil }, "Classes: none"},
		{"no balancers", func(s *balancer.Settings) { s.Balancers = 0 }, "Balancers: 0"},
		{"own number outside the count", func(s *balancer.Settings) { s.Self = 1 }, "Self: 1"},
		{"own number below zero", func(s *balancer.Settings) { s.Self = -1 }, "Self: -1"},
		{"attempt limit below zero", func(s *balancer.Settings) { s.MaxAttempts = -2 }, "MaxAttempts: -2"},
		{"drain grace below zero", func(s *balancer.Settings) { s.DrainGrace = -ms }, "DrainGrace: -1ms"},
		{"initial capacity above one", func(s *balancer.Settings) { s.InitialCapacity = 1.5 }, "InitialCapacity: 1.5"},
		{"unknown idempotency", func(s *balancer.Settings) { s.Classes[2].Idempotency = 9 }, "Classes[2].Idempotency: 9"},
		{"unknown scope", func(s *balancer.Settings) { s.Classes[1].Scope = 7 }, "Classes[1].Scope: 7"},
		{"no latency objective", func(s *balancer.Settings) { s.Classes[0].LatencyObjective = 0 }, "Classes[0].LatencyObjective: 0s"},
		{"deduplication window below zero", func(s *balancer.Settings) { s.Classes[3].DedupWindow = -ms }, "Classes[3].DedupWindow: -1ms"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := settings()
			tt.edit(&s)
			_, err := balancer.New(s, 1)
			if err == nil || !strings.Contains(err.Error(), tt.want) {
				t.Fatalf("error %v, want one with %q", err, tt.want)
			}
			var settingErr *balancer.SettingError
			if !errors.As(err, &settingErr) || !strings.HasPrefix(tt.want, settingErr.Field+": ") {
				t.Errorf("error %#v, want a SettingError of the field in %q", err, tt.want)
			}
		})
	}
}
