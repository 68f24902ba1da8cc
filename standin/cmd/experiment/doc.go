// Command experiment compares variants of the router on a bench that plays days
// of a deployment.
//
// Each variant is a checkout, with mechanisms of the router switched off where
// that is wanted. The tool plays every variant on the same days with the same
// seeds, pairs the results by day and seed, and says which differences are
// beyond the noise: what the same code gives when it is played twice.
//
//	experiment --bench PATH --site site.toml --days trouble-1,scale-1 --seeds 11,12,13 \
//	    --variant base=../base --variant lean=../base:few-candidates --variant new=../new
//
// The first variant is the baseline. It is played twice.
package main
