// Package platformapi is the stand-in for the operators' platform. It serves a
// memstore.Store over HTTP/JSON to platform.Client.
//
//	server := platformapi.New(platformapi.Config{Listener: listener, Store: memstore.New()})
//	err := server.Run(ctx)
//
// Paths:
//
//	GET    /v1/objects/{key}                        the object
//	PUT    /v1/objects/{key}, If-None-Match: *      create, body is the value
//	PUT    /v1/objects/{key}, If-Match: <version>   update, body is the value
//	DELETE /v1/objects/{key}, If-Match: <version>   delete
//	GET    /v1/objects?prefix=                      list
//	GET    /v1/watch?prefix=&after=&waitMs=         one long poll for objects
//	GET    /v1/members?after=&waitMs=               one long poll for members
//	PUT    /v1/members/{id}                         register, body is a JSON member
//	DELETE /v1/members/{id}                         deregister
//	PUT    /standin/faults                          replace memstore.Faults
//	GET    /standin/counts                          memstore.Counts
//
// Keys are percent-encoded in the path. Responses are JSON. Status codes: 404
// not found, 410 history gone, 412 version conflict, 413 value too large, 428
// precondition missing, 503 unavailable (the call had no effect). If the reply to a write is to be lost, the
// write takes effect and the connection is closed without a reply.
package platformapi
