// Package storer is the client of the platform's table and object store. It
// is the only package that implements the client side of their HTTP protocol:
//
//	POST   /table/commit       Txn           200 CommitReply, 409 conflict
//	GET    /table/row?key=K                  200 Row
//	GET    /table/rows?prefix=P&after=A&limit=N   200 [Row]
//	PUT    /objects/NAME       bytes         204
//	GET    /objects/NAME                     200 bytes, 404
//	DELETE /objects/NAME                     204
//
// Status 503 guarantees that the request had no effect.
package storer
