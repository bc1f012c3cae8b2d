package main

import (
	_ "embed"
	"encoding/json"
)

// The names of the platform's wire are kept in a data file.
//
//go:embed wire.json
var wireFile []byte

var wire = func() map[string]string {
	names := map[string]string{}
	if err := json.Unmarshal(wireFile, &names); err != nil {
		panic(err)
	}
	return names
}()
