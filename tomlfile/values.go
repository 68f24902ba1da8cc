package tomlfile

import (
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Errors of values; each names its remedy.
var (
	ErrDuration = errors.New(`not a duration; write a number with a unit, as "250ms" or "3s"`)
	ErrSize     = errors.New(`not a size; write a whole number with a unit, as "64KiB" or "4MiB"`)
	ErrAddress  = errors.New(`not an address; write an IP number and a port, as "10.0.0.1:8080"`)
)

// Duration is a length of time, written with its unit, such as "250ms".
type Duration time.Duration

// UnmarshalText reads a duration.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	if err != nil || v < 0 {
		return ErrDuration
	}
	*d = Duration(v)
	return nil
}

// MarshalText writes the duration as UnmarshalText reads it.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// Or returns the duration, or def where it is zero.
func (d Duration) Or(def time.Duration) time.Duration {
	if d == 0 {
		return def
	}
	return time.Duration(d)
}

// Size is a number of bytes, written with its unit, such as "4MiB".
type Size int64

var sizeUnits = []struct {
	suffix string
	bytes  int64
}{{"KiB", 1 << 10}, {"MiB", 1 << 20}, {"GiB", 1 << 30}, {"B", 1}}

// UnmarshalText reads a size.
func (s *Size) UnmarshalText(b []byte) error {
	for _, u := range sizeUnits {
		digits, ok := strings.CutSuffix(string(b), u.suffix)
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(digits, 10, 32)
		if err != nil || n < 0 {
			return ErrSize
		}
		*s = Size(n * u.bytes)
		return nil
	}
	return ErrSize
}

// MarshalText writes the size in bytes.
func (s Size) MarshalText() ([]byte, error) {
	return []byte(strconv.FormatInt(int64(s), 10) + "B"), nil
}

// Or returns the size, or def where it is zero.
func (s Size) Or(def int64) int64 {
	if s == 0 {
		return def
	}
	return int64(s)
}

// Address is an IP number and a port.
type Address struct{ netip.AddrPort }

// UnmarshalText reads an address; host names are refused.
func (a *Address) UnmarshalText(b []byte) error {
	v, err := netip.ParseAddrPort(string(b))
	if err != nil {
		return ErrAddress
	}
	a.AddrPort = v
	return nil
}

// MarshalText writes the address as UnmarshalText reads it.
func (a Address) MarshalText() ([]byte, error) { return []byte(a.String()), nil }

// String spells the address, or nothing where it is not set.
func (a Address) String() string {
	if !a.IsValid() {
		return ""
	}
	return a.AddrPort.String()
}
