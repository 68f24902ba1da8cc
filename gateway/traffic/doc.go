// Package traffic counts the bytes that a router sends and reads, by what they are for
// and by whether they stay within its data hall: bytes between halls are priced.
package traffic
