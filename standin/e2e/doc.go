// Package e2e holds tests only: a small fleet of real croftvaled processes,
// with stand-ins around them, is driven as callers and operators drive it.
package e2e
