// Package relay holds what routers and agents share in passing a request on by
// HTTP: the names of headers, which headers go end to end, and copying a
// streamed answer.
//
//	relay.CopyHeader(w.Header(), res.Header)
//	n, err := relay.Copy(w, res.Body)
package relay
