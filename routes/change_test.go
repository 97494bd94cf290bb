package routes

import (
	"bytes"
	"compress/flate"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/pkg/errors"
	"pgregory.net/rapid"
)

// drawConfig returns a configuration with some of a few routes, each in one of two forms.
func drawConfig(t *rapid.T, version uint64) Config {
	c := Config{Version: version, Routes: []Route{}, Services: []Service{{Name: "stock", MaxConnections: int64(version)}}}
	for i := range 6 {
		if rapid.Bool().Draw(t, "listed") {
			c.Routes = append(c.Routes, Route{
				Name: fmt.Sprint("r", i), PathPrefix: fmt.Sprintf("/%d/", i), TimeoutMillis: 1000,
				Shares: []Share{{Service: "stock", Weight: rapid.Int64Range(1, 2).Draw(t, "weight")}},
			})
		}
	}
	return c
}

func sorted(c Config) Config {
	c.Routes = slices.Clone(c.Routes)
	slices.SortFunc(c.Routes, func(a, b Route) int { return strings.Compare(a.Name, b.Name) })
	return c
}

// A replica that follows a store by updates, from any version that it may have, always arrives at the
// store's configuration.
func TestUpdatesLeadToCurrentConfiguration(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var store Store
		history := []Config{{}}
		for version := uint64(1); version <= 8; version++ {
			next := drawConfig(t, version)
			store.current, store.history = history[version-1], nil
			if version > 1 {
				store.changes.add(Diff(history[version-1], next))
			}
			store.current = next
			history = append(history, next)
			from := rapid.IntRange(0, int(version)).Draw(t, "from")
			body, err := EncodeUpdate(store.UpdateSince(uint64(from)))
			if err != nil {
				t.Fatal(err)
			}
			update, err := DecodeUpdate(body)
			if err != nil {
				t.Fatal(err)
			}
			got, err := update.Apply(history[from])
			if err != nil {
				t.Fatal(err)
			}
			if !reflect.DeepEqual(sorted(got), sorted(next)) {
				t.Fatalf("update from version %d: got %+v, want %+v", from, got, next)
			}
		}
	})
}

func TestUpdateOfUnknownVersionIsComplete(t *testing.T) {
	var store Store
	for version := uint64(1); version <= 2*maxChanges; version++ {
		c := Config{Version: version}
		for i := range 100 {
			c.Routes = append(c.Routes, Route{Name: fmt.Sprint("r", i)})
		}
		store.changes.add(Diff(store.current, c))
		store.current = c
	}
	if update := store.UpdateSince(1); update.Full == nil || update.Changes != nil {
		t.Errorf("version 1 is no longer known: got an update with %d changes, want a complete configuration", len(update.Changes))
	}
	if update := store.UpdateSince(2*maxChanges - 1); update.Full != nil || len(update.Changes) != 1 {
		t.Errorf("the version before the current one: got %d changes, want one", len(update.Changes))
	}
	if update := store.UpdateSince(2 * maxChanges); update.Full != nil || len(update.Changes) != 0 {
		t.Errorf("the current version: got %+v, want nothing", update)
	}
}

func TestChangeOfOtherVersionIsRejected(t *testing.T) {
	change := Diff(Config{Version: 3}, Config{Version: 4})
	if _, err := (Config{Version: 2}).Apply(change); !errors.Is(err, ErrMismatch) {
		t.Errorf("got error %v, want %v", err, ErrMismatch)
	}
}

// Guards against a small message that expands to more than the memory of a host.
func TestDecodeUpdateLimitsSize(t *testing.T) {
	var packed bytes.Buffer
	compressor, err := flate.NewWriter(&packed, flate.BestSpeed)
	if err != nil {
		t.Fatal(err)
	}
	zeros := make([]byte, 1<<20)
	for range maxUpdateBytes>>20 + 1 {
		compressor.Write(zeros)
	}
	compressor.Close()
	if _, err := DecodeUpdate(packed.Bytes()); !errors.Is(err, ErrEncoding) {
		t.Errorf("got error %v, want %v", err, ErrEncoding)
	}
}
