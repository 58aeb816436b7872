package gtsettings

import (
	"reflect"
	"slices"
)

// runtimeKeys are the keys of the settings that can change without a restart.
var runtimeKeys = []string{"duty.rate", "limit.body", "limit.callers", "log.level", "trace.ratio"}

// Change is the difference between two valid settings files. It holds keys only, so that
// it can be logged without a value that may be a secret.
type Change struct {
	runtime, restart []string
}

// Compare returns the change from one settings file to another.
func Compare(from, to Settings) Change {
	var c Change
	a, b := reflect.ValueOf(from), reflect.ValueOf(to)
	for i := range a.NumField() {
		section := a.Type().Field(i)
		for j := range section.Type.NumField() {
			if reflect.DeepEqual(a.Field(i).Field(j).Interface(), b.Field(i).Field(j).Interface()) {
				continue
			}
			key := section.Tag.Get("toml") + "." + section.Type.Field(j).Tag.Get("toml")
			if slices.Contains(runtimeKeys, key) {
				c.runtime = append(c.runtime, key)
			} else {
				c.restart = append(c.restart, key)
			}
		}
	}
	return c
}

// Runtime returns the changed keys that take effect without a restart.
func (c Change) Runtime() []string { return c.runtime }

// Restart returns the changed keys that take effect at the next start.
func (c Change) Restart() []string { return c.restart }

// WithRuntime returns s with the settings of next that can change without a restart.
func (s Settings) WithRuntime(next Settings) Settings {
	s.Duty.Rate = next.Duty.Rate
	s.Limit.MaxBodyBytes, s.Limit.MaxCallerConnections = next.Limit.MaxBodyBytes, next.Limit.MaxCallerConnections
	s.Log.Level, s.Trace.Ratio = next.Log.Level, next.Trace.Ratio
	return s
}
