package settings

import "testing"

func TestSettings(t *testing.T) {
	s, err := Parse([]byte(`{"news":1,"az":1,"grades":[{"repeat":"dedup","group":"zone","target":5e8}]}`))
	if err != nil || s.Zone != 1 || s.Settings.Categories[0].DueTime != 0.5 || s.Settings.Categories[0].Repeat != 1 {
		t.Errorf("%+v %v", s, err)
	}
	if _, err := Parse([]byte(`{`)); err == nil {
		t.Error("bad settings were read")
	}
}
