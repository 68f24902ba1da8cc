// Package stats is a router's metrics. Labels come from small fixed sets.
package stats
