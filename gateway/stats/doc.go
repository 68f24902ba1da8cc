// Package stats holds a router's metrics. All labels come from small fixed sets.
package stats
