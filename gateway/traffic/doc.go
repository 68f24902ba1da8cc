// Package traffic counts the bytes that a router sends and reads, by purpose and by distance:
// bytes between halls are charged for, and bytes between regions cost more.
package traffic
