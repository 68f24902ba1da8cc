// Package msgpackcheck checks MessagePack data before it is decoded. The decoder allocates an array of the
// length that the data announce before it reads the elements, so that a few bytes can take all memory, and
// it follows any depth of nesting on its stack.
package msgpackcheck
