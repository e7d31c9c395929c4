package edger

import (
	"reflect"
	"slices"
	"strings"
	"testing"
)

// leafPaths returns the paths of the fields of a settings struct by their names in JSON.
func leafPaths(t reflect.Type, prefix string) []string {
	if t.Kind() != reflect.Struct {
		return []string{strings.TrimSuffix(prefix, ".")}
	}
	var paths []string
	for n := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(n).Tag.Get("json"), ",")
		paths = append(paths, leafPaths(t.Field(n).Type, prefix+name+".")...)
	}
	return paths
}

// Guards against a field whose change is neither applied nor refused: each field of the settings
// needs a row.
func TestEachFieldOfTheSettingsHasARow(t *testing.T) {
	var rows []string
	for _, f := range settingsFields {
		rows = append(rows, f.path)
	}
	if want := leafPaths(reflect.TypeFor[Settings](), ""); !slices.Equal(rows, want) {
		t.Errorf("rows:   %v\nfields: %v", rows, want)
	}
}

// changedSettings returns valid settings in which all fields differ from those of validSettings.
func changedSettings() Settings {
	s := validSettings()
	s.Instance = InstanceSettings{ID: "edge-2", Zone: "zone-2"}
	s.Zones = map[string]string{"zone-1": "region-1", "zone-2": "region-2"}
	s.Listen = ListenSettings{Callers: "10.0.0.2:11", Ready: "10.0.0.2:12", Lookups: "10.0.0.2:13", Peers: "10.0.0.2:14", Metrics: "10.0.0.2:15"}
	s.Store, s.Seeds = "10.0.0.9:2", []string{"10.0.0.3:1"}
	s.Bounds = BoundsSettings{RetryRatio: 0.3, RetryExtra: 30, RegionShift: []float64{0.3}, Grace: 3, LookupTTL: 1}
	s.Log.LinesPerSecond = 30
	s.Memory = MemorySettings{LimitMB: 300, CollectPercent: 30, ClientsPercent: 30}
	s.Descriptors = 3000
	return s
}

func validSettings() Settings {
	s := Settings{
		Instance: InstanceSettings{ID: "edge-1", Zone: "zone-1"}, Zones: map[string]string{"zone-1": "region-1"},
		Listen: ListenSettings{Callers: "10.0.0.1:1", Ready: "10.0.0.1:2", Lookups: "10.0.0.1:3", Peers: "10.0.0.1:4"},
		Store:  "10.0.0.9:1",
	}
	s.setDefaults()
	return s
}

// Guards against LOST (review/8): a change of each field must be applied or named as needing a
// restart, and nothing of the latter may be applied.
func TestChangesOfEachFieldAreAppliedOrNeedARestart(t *testing.T) {
	before, after := validSettings(), changedSettings()
	next, err := before.withLive(&after)
	if err != nil {
		t.Fatal(err)
	}
	found := changes(&before, &after)
	if len(found) != len(settingsFields) {
		t.Fatalf("%d changes found of %d: %v", len(found), len(settingsFields), found)
	}
	for n, f := range settingsFields {
		want := found[n].before
		if f.live {
			want = found[n].after
		}
		if got := reflect.ValueOf(f.value(&next)).Elem().Interface(); !reflect.DeepEqual(got, want) || found[n].path != f.path || found[n].live != f.live {
			t.Errorf("%s: %v in force, want %v; change %+v", f.path, got, want, found[n])
		}
	}
	if again := changes(&next, &next); len(again) > 0 {
		t.Errorf("changes between the same settings: %v", again)
	}
}

// Live fields must stay as they were if they are not valid without a change that needs a restart.
func TestInvalidMixOfSettingsIsRefused(t *testing.T) {
	before, after := validSettings(), changedSettings()
	after.Descriptors = minDescriptors - 1
	if _, err := before.withLive(&after); err == nil {
		t.Error("invalid settings accepted")
	}
}
