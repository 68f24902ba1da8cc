// Package relay holds what routers and agents share to forward requests over HTTP: the
// names of headers, the selection of end-to-end headers, and the copying of a streamed
// response.
//
//	relay.CopyHeader(w.Header(), res.Header)
//	err := relay.Copy(w, res.Body)
package relay
