// Package framing tells how the end of a received response is known.
package framing

import "net/http"

// IsUnframed reports whether the end of a response is the end of its connection. net/http returns io.EOF there, also if
// the other side broke off.
func IsUnframed(resp *http.Response) bool {
	return resp.ContentLength < 0 && resp.Close && len(resp.TransferEncoding) == 0 && resp.Body != http.NoBody
}
