package main

import (
	_ "embed"
	"encoding/json"
	"net/http"
)

// wire holds the platform's names.
var wire struct {
	Env, Start, Stop, Hold, Pace, Commit, Get, Feed, Beat, Instance, Deadline string
}

//go:embed wire.json
var wireText []byte

func init() {
	if err := json.Unmarshal(wireText, &wire); err != nil {
		panic(err)
	}
}

// reply writes a body as JSON.
func reply(w http.ResponseWriter, code int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_, _ = w.Write(data) // The peer may be gone.
}
