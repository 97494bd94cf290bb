package storage_test

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/galenalug/galenalug/replog"
	"github.com/galenalug/galenalug/storage"
)

func Example() {
	base, err := os.MkdirTemp("", "storage")
	if err != nil {
		fmt.Println(err)
		return
	}
	defer func() { _ = os.RemoveAll(base) }()
	dir := filepath.Join(base, "group")
	store, err := storage.Create(dir, 42, storage.Options{})
	if err != nil {
		fmt.Println(err)
		return
	}
	entries := []replog.Entry{{Index: 1, Term: 1, Data: []byte("hello")}}
	if err := store.Append(&replog.HardState{Term: 1}, entries); err != nil {
		fmt.Println(err)
		return
	}
	if err := store.Close(); err != nil {
		fmt.Println(err)
		return
	}
	_, recovered, err := storage.Open(dir, storage.Options{})
	fmt.Println(recovered.Identity, string(recovered.Entries[0].Data), err)
	// Output: 42 hello <nil>
}
