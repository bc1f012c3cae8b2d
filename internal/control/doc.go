// Package control holds the messages and services of the calls between entry
// and agent and among entries. The code is generated from control.proto by
// protoc with protoc-gen-go and protoc-gen-twirp and committed:
//
//	protoc --go_out=. --twirp_out=. --go_opt=paths=source_relative --twirp_opt=paths=source_relative control.proto
package control
