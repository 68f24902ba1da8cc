package msgpackcheck

// kind is what the length of a value counts.
type kind uint8

const (
	scalar  kind = iota // there is no length
	bytesOf             // strings, binary data and extensions
	arrayOf
	mapOf
	invalid
)

// format describes the values that begin with one code.
type format struct {
	kind        kind
	lengthBytes int // size of the length
	fixedBytes  int // bytes besides the code and what the length counts
}

// firstFormat is the code of the first of formats.
const firstFormat = 0xc0

// formats holds the formats of the codes up to 0xdf.
var formats = [...]format{
	{scalar, 0, 0}, {invalid, 0, 0}, {scalar, 0, 0}, {scalar, 0, 0}, // nil, unused, false, true
	{bytesOf, 1, 0}, {bytesOf, 2, 0}, {bytesOf, 4, 0}, // binary data
	{bytesOf, 1, 1}, {bytesOf, 2, 1}, {bytesOf, 4, 1}, // extensions
	{scalar, 0, 4}, {scalar, 0, 8}, // floating-point numbers
	{scalar, 0, 1}, {scalar, 0, 2}, {scalar, 0, 4}, {scalar, 0, 8}, // unsigned integers
	{scalar, 0, 1}, {scalar, 0, 2}, {scalar, 0, 4}, {scalar, 0, 8}, // signed integers
	{scalar, 0, 2}, {scalar, 0, 3}, {scalar, 0, 5}, {scalar, 0, 9}, {scalar, 0, 17}, // extensions of fixed size
	{bytesOf, 1, 0}, {bytesOf, 2, 0}, {bytesOf, 4, 0}, // strings
	{arrayOf, 2, 0}, {arrayOf, 4, 0},
	{mapOf, 2, 0}, {mapOf, 4, 0},
}
